/**
 * Keeps a request under which runners have ended from ending more of them, over all its tries and all gateways. The gateway
 * that sees a runner end tells the holders of the pool: a few gateways, chosen by hashing its name. Once several runners
 * have ended under a request, the holders tell all gateways. A request is asked for only if
 * this gateway knows that a runner has ended under it; the holders then admit each of its runs, and none of them may object.
 */
import { preferredOwners } from "../../coordination/partition-ownership/index.ts";
import type { RequestFingerprint } from "../../scheduling/ids/request-fingerprint.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import {
  type SuspectOutcome,
  type SuspectRun,
  SuspectTable,
  type SuspectVerdict,
  strictestOf,
} from "../../scheduling/poison-requests/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type {
  ReportedRun,
  RunnerReserved,
  SuspectCleared,
  SuspectRunEnded,
  SuspectsKnown,
} from "../gateway-messages.ts";
import type { GatewayCandidate } from "../members/gateway-candidate.ts";
import type { RunnerCondition } from "../runners/runner-end-detector.ts";
import type { PoisonGuardParts } from "./poison-guard-parts.ts";
import { RunnerReservations } from "./runner-reservations.ts";
import { UnconfirmedBreaks } from "./unconfirmed-breaks.ts";

/** Holders of each pool. */
const HOLDERS = 3;
/** The first holders tell all gateways: another one besides the first, which may just have been lost. */
const ANNOUNCING_HOLDERS = 2;
/** Gateways that tell a new one under which requests several runners have ended: some of them may be new themselves. */
const INFORMANTS = 6;
/** How long a holder has to answer, in ms. */
const ANSWER_TIMEOUT_MS = 150;

export class PoisonGuard {
  readonly #parts: PoisonGuardParts;
  readonly #table = new SuspectTable();
  readonly #unconfirmed = new UnconfirmedBreaks();
  readonly #reservations = new RunnerReservations();
  /** Instances of gateways that were heard of. */
  readonly #knownInstances = new Set<string>();

  constructor(parts: PoisonGuardParts) {
    this.#parts = parts;
    parts.rpc.handle("admitSuspect", async (run) => this.#table.admit(run, this.#nowMs));
    parts.rpc.handle("recordRunnerLoss", async (run) => {
      this.#applyLoss(run);
      return { type: "recorded" };
    });
  }

  /** Whether no request is known under which a runner has ended. */
  get isIdle(): boolean {
    return this.#table.isEmpty(this.#nowMs);
  }

  /** Number of runners that are known to have ended under a request. */
  lostCount(fingerprint: RequestFingerprint): number {
    return this.#table.lostUnder(fingerprint, this.#nowMs).length;
  }

  /** Whether a request must not be sent to any runner. */
  isPoison(fingerprint: RequestFingerprint): boolean {
    return this.#table.isPoison(fingerprint, this.#nowMs);
  }

  /**
   * Finds out whether a runner that has broken off an answer has ended. If so, another gateway knows of it once this resolves,
   * unless none answers.
   */
  async checkBreak(run: ReportedRun, runner: RunnerEntry): Promise<RunnerCondition> {
    const { detector, context } = this.#parts;
    const condition = await detector.check(runner);
    context.metrics.recordRunnerCondition(condition);
    if (condition === "ended") await this.#reportLoss(run);
    else this.#unconfirmed.add(run, this.#nowMs);
    return condition;
  }

  /** Records a run that its caller or a timeout has ended: its runner may end under it all the same. */
  recordAbandoned(run: ReportedRun): void {
    this.#unconfirmed.add(run, this.#nowMs);
  }

  /** Handles that a runner has left the list, or has started again. */
  onRunnerGone(runner: RunnerId): void {
    for (const run of this.#unconfirmed.take(runner, this.#nowMs)) void this.#reportLoss(run);
  }

  /** Asks the holders of a pool whether a run of a suspect may begin. What nobody answers is decided here. */
  async admit(pool: string, run: SuspectRun): Promise<SuspectVerdict> {
    const asked = this.#otherHolders(pool).map(async ({ address }) => {
      const reply = await this.#parts.rpc.ask(address, "admitSuspect", run, ANSWER_TIMEOUT_MS);
      return reply.type === "done" ? [reply.body] : [];
    });
    const own = this.#isAmongFirst(pool, HOLDERS) ? [this.#table.admit(run, this.#nowMs)] : [];
    const answers = (await Promise.all(asked)).flat();
    for (const { lost } of answers) this.#table.learnLost(run.fingerprint, lost, this.#nowMs);
    const verdict = strictestOf([...own, ...answers]) ?? this.#table.admit(run, this.#nowMs);
    if (verdict.type !== "granted") this.endRun(pool, run, "unknown");
    else if (verdict.isLast) this.#reserve(run.runner, run.leaseMs);
    this.#parts.context.metrics.recordSuspectVerdict(verdict.type);
    return verdict;
  }

  /** Records how a granted run has ended whose runner has not. */
  endRun(pool: string, run: SuspectRun, outcome: SuspectOutcome): void {
    const { fingerprint, request, runner } = run;
    const ended: SuspectRunEnded = { type: "suspectRunEnded", pool, fingerprint, request, runner, outcome };
    this.onRunEnded(ended);
    if (this.#reservations.isOwn(runner)) this.#reserve(runner, 0);
    for (const { address } of this.#otherHolders(pool)) this.#parts.transport.send(address, ended);
  }

  /** Records that a request was run to its end by a run that nobody had to grant. */
  clear(pool: string, fingerprint: RequestFingerprint): void {
    const cleared: SuspectCleared = { type: "suspectCleared", pool, fingerprint };
    this.onCleared(cleared);
    for (const { address } of this.#otherHolders(pool)) this.#parts.transport.send(address, cleared);
  }

  /** Handles that a request was run to its end, here or at another gateway. All that were told of it must know. */
  onCleared(cleared: SuspectCleared): void {
    const wasAnnounced = this.#table.describe(cleared.fingerprint, this.#nowMs) !== undefined;
    this.#table.clear(cleared.fingerprint);
    if (wasAnnounced && this.#isAmongFirst(cleared.pool, ANNOUNCING_HOLDERS)) this.#tellAll(cleared);
  }

  /** Whether a runner is left to the last run of a request, so that others are better sent elsewhere. */
  isReserved(runner: RunnerId): boolean {
    return this.#reservations.isReserved(runner, this.#nowMs);
  }

  /** Whether any runner is. */
  get hasReservations(): boolean {
    return this.#reservations.hasAny(this.#nowMs);
  }

  /** Handles that a runner is reserved, or that it no longer is. */
  onRunnerReserved({ runner, leaseMs }: RunnerReserved): void {
    this.#reservations.set(runner, leaseMs, this.#nowMs);
  }

  /** Handles the end of a run, here or at another gateway. */
  onRunEnded({ pool, fingerprint, request, runner, outcome }: SuspectRunEnded): void {
    this.#table.endRun(request, runner);
    if (outcome === "whole") this.onCleared({ type: "suspectCleared", pool, fingerprint });
  }

  /** Handles the news of requests under which several runners have ended. */
  onSuspectsKnown({ suspects }: SuspectsKnown): void {
    for (const { fingerprint, lost } of suspects) this.#table.learnLost(fingerprint, lost, this.#nowMs);
  }

  /** Tells a gateway that was not heard of before under which requests several runners have ended. */
  onMember(instance: string, address: string): void {
    if (this.#knownInstances.has(instance)) return;
    this.#knownInstances.add(instance);
    const suspects = this.#table.describeAll(this.#nowMs);
    if (suspects.length === 0 || !this.#isAmongFirst(instance, INFORMANTS)) return;
    this.#parts.transport.send(address, { type: "suspectsKnown", suspects });
  }

  /** Forgets a gateway that is lost. */
  onMemberLost(instance: string): void {
    this.#knownInstances.delete(instance);
  }

  /** Tells all gateways that a runner is reserved for so long; 0 if it no longer is. */
  #reserve(runner: RunnerId, leaseMs: number): void {
    const reserved: RunnerReserved = { type: "runnerReserved", runner, leaseMs };
    this.#reservations.setOwn(runner, leaseMs, this.#nowMs);
    for (const { address } of this.#others(this.#parts.members.poisonGuards()))
      this.#parts.transport.send(address, reserved);
  }

  /** Resolves once another holder has recorded the loss, or none is left to answer. */
  async #reportLoss(run: ReportedRun): Promise<void> {
    this.#applyLoss(run);
    const reports = this.#otherHolders(run.pool).map(async ({ address }) => {
      const reply = await this.#parts.rpc.ask(address, "recordRunnerLoss", run, ANSWER_TIMEOUT_MS);
      if (reply.type !== "done") throw new Error("the report was not answered");
    });
    await Promise.any(reports).catch(() => undefined);
  }

  #applyLoss({ pool, fingerprint, request, runner }: ReportedRun): void {
    const nowMs = this.#nowMs;
    this.#table.endRun(request, runner);
    if (!this.#table.recordLost(fingerprint, runner, nowMs)) return;
    if (this.#isAmongFirst(pool, ANNOUNCING_HOLDERS)) this.#announce(fingerprint);
  }

  /** Tells all gateways of a request under which several runners have ended. */
  #announce(fingerprint: RequestFingerprint): void {
    const suspect = this.#table.describe(fingerprint, this.#nowMs);
    if (!suspect) return;
    this.#parts.context.log.warn(suspect, "several runners ended under a request");
    this.#tellAll({ type: "suspectsKnown", suspects: [suspect] });
  }

  /** Sends a message to all gateways, also to those that were just lost: they may only not be heard of for a while. */
  #tellAll(message: SuspectsKnown | SuspectCleared): void {
    const { members, transport } = this.#parts;
    for (const { address } of this.#others([...members.poisonGuards(), ...members.lostPoisonGuards()]))
      transport.send(address, message);
  }

  /** The holders, and those that would be if they were not considered lost: they may only not be heard of for a while. */
  #otherHolders(pool: string): GatewayCandidate[] {
    const { members } = this.#parts;
    const alive = this.#first(pool, HOLDERS);
    return this.#others([...alive, ...this.#firstOf(pool, members.lostPoisonGuards(), HOLDERS)]);
  }

  #others(gateways: readonly GatewayCandidate[]): GatewayCandidate[] {
    const own = this.#parts.transport.self.address;
    return gateways.filter(({ address }) => address !== own);
  }

  #isAmongFirst(key: string, count: number): boolean {
    const own = this.#parts.transport.self.address;
    return this.#first(key, count).some(({ address }) => address === own);
  }

  /** The gateways that rendezvous hashing puts first for a key. */
  #first(key: string, count: number): GatewayCandidate[] {
    return this.#firstOf(key, this.#parts.members.poisonGuards(), count);
  }

  #firstOf(key: string, gateways: readonly GatewayCandidate[], count: number): GatewayCandidate[] {
    return preferredOwners(this.#parts.context.hash.hash32(key), gateways, count);
  }

  get #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}
