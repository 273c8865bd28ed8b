/** What plain calls and turns have in common: the time they have, the runners they met, and how they end early. */

import type { CallContext } from "../../ports/call-protocol.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import { canStillEnd } from "../../scheduling/admission/can-still-end.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { Route, RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import type { RunnerChoice } from "../../scheduling/runner-board/runner-choice.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import type { HeldPlace } from "../places/held-place.ts";
import type { PendingPlaceRequest } from "../places/pending-place-request.ts";
import type { PlaceVerdict } from "../places/place-verdict.ts";
import type { CallEnd } from "../telemetry/call-end.ts";
import { CallRecord } from "../telemetry/call-record.ts";
import type { RateRecord } from "../telemetry/rate-record.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { callTimeMs } from "./call-time.ts";
import type { AttemptFailure, AttemptListener, AttemptParts } from "./runner-attempt.ts";
import { RunnerAttempt } from "./runner-attempt.ts";

/** What is known of a call when it begins. */
export interface CallStart {
  readonly exchange: CallerExchange;
  readonly call: CallContext;
  readonly route: Route;
  readonly pool: RunnerPool;
  /** For whom the call is made; undefined where it needs no key. */
  readonly tenant: Tenant | undefined;
  /** How important the call is among all, 0 the most. */
  readonly rank: number;
  /** Whether runners must not see what authorizes the caller. */
  readonly hidesKey: boolean;
  /** What the owner of the tenant's limit said; undefined where there is no limit. */
  readonly rate: RateRecord | undefined;
  /** Version of the configuration that the route is from. */
  readonly configurationVersion: number;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
/** Longest detail in a line of the log, in characters. */
const MAX_DETAIL = 200;
const GATEWAY_TIMEOUT = 504;
/** When callers of a request that was not run should come back, in ms; up to as much again is added at random. */
const RETRY_AFTER_MS = 100;
/**
 * When programs should come back that were refused because the runners are full, in ms; up to as much again is added at
 * random. About the time of a turn: by then some programs have ended, and the decision is made anew.
 */
const PROGRAM_RETRY_AFTER_MS = 250;
/** A runner that is silent for so many times the route's target has a fault, or is overloaded. */
const PATIENCE_FACTOR = 3;
const MIN_PATIENCE_MS = 400;
/** How often a runner that stays silent is looked at again, in ms. */
const SILENCE_POLL_MS = 200;
/** Tries at runners within one call, whatever became of them. */
const MAX_TRIES = 12;

/** See the module's comment. */
export abstract class RoutedCall {
  protected readonly parts: AttemptParts;
  protected readonly exchange: CallerExchange;
  protected readonly call: CallContext;
  protected readonly route: Route;
  protected readonly pool: RunnerPool;
  protected readonly tenant: Tenant | undefined;
  protected readonly rank: number;
  /** Of the monotonic clock: when the route's or the caller's time is over. */
  protected readonly deadlineAtMs: number;
  /** Runners that refused the call, or could not be reached. */
  protected readonly excluded = new Set<RunnerId>();
  /** Runners that were silent for too long; what may run twice goes to others. */
  protected readonly silent = new Set<RunnerId>();
  /** Runners that may have run it. */
  protected readonly mayHaveRun = new Set<RunnerId>();
  protected attempt: RunnerAttempt | undefined;
  /** What goes into the log when the call is over. */
  protected readonly record: CallRecord;
  readonly #hidesKey: boolean;
  /** What the present runner was chosen by; undefined where a dispatcher chose it. */
  #choice: RunnerChoice | undefined;
  /** The runner that holds most of the prompt, if any is known to. */
  #holder: RunnerId | undefined;
  #tries = 0;
  #question: PendingPlaceRequest | undefined;
  /** The place of the present try; undefined where no dispatcher gave it. */
  #place: HeldPlace | undefined;
  #timer: TimerHandle | undefined;
  #silenceTimer: TimerHandle | undefined;
  #over = false;

  constructor(parts: AttemptParts, start: CallStart) {
    this.parts = parts;
    this.exchange = start.exchange;
    this.call = start.call;
    this.route = start.route;
    this.pool = start.pool;
    this.tenant = start.tenant;
    this.rank = start.rank;
    this.#hidesKey = start.hidesKey;
    const { requestId, program } = this.call;
    this.exchange.buffers.request = requestId;
    this.record = new CallRecord(requestId, program?.id, this.route.name, start.configurationVersion);
    this.record.tenant = start.tenant?.name;
    this.record.rate = start.rate;
    this.deadlineAtMs = this.exchange.arrivedAtMs + callTimeMs(this.call, this.route);
  }

  /** Begins; the call looks after itself from then on. */
  run(): void {
    this.#timer = this.parts.context.clock.schedule(Math.max(0, this.leftMs), () => this.#onDeadline());
    this.exchange.onGone(() => this.#onGone());
    if (!this.#over) this.begin();
  }

  protected abstract begin(): void;
  /** The next try, or the end. */
  protected abstract next(): void;
  /** Called once when the call is over, however it ended. */
  protected onOver(): void {}

  /** Whether the call, once sent to a runner, may be sent to another one although the first may have run it. */
  protected abstract mayMove(runner: RunnerEntry): boolean;

  /** How urgent the call is among those that wait at a runner; undefined where nothing is known of it. */
  protected get urgency(): Urgency | undefined {
    return undefined;
  }

  protected get over(): boolean {
    return this.#over;
  }

  protected get leftMs(): number {
    return this.deadlineAtMs - this.parts.context.clock.monotonicMs();
  }

  /** Longest wait for a place, in ms: a caller waits for an answer in one piece until its time is over. */
  protected get mostPlaceWaitMs(): number {
    return this.leftMs;
  }

  /** Whether the call goes on with a program that has begun. */
  protected get hasBegun(): boolean {
    return this.call.program !== undefined;
  }

  /** Tokens that the call takes up of a runner's memory. */
  protected get tokens(): number {
    const { promptTokens = 0, maxGeneratedTokens = 0 } = this.call;
    return this.pool.engine === undefined ? 0 : promptTokens + maxGeneratedTokens;
  }

  /** Whether a call that no dispatcher decides on may be sent; called before its first try. */
  protected mayBegin(): boolean {
    return true;
  }

  /**
   * Finds the runner for a try. While places are scarce, a dispatcher is asked for one; a call that may have run is not: it
   * must not wait behind others, nor be refused as not run.
   */
  protected seekRunner(
    preferred: RunnerId | undefined,
    send: (runner: RunnerEntry | undefined) => void,
  ): void {
    this.#holder = preferred;
    const { places } = this.parts;
    if (this.mayHaveRun.size > 0 || !places.requiresPlace(this.pool)) return this.#goAlone(preferred, send);
    const atMs = this.elapsedMs;
    const question = places.requestPlace({
      pool: this.pool,
      describe: () => this.#describe(preferred),
      onVerdict: (verdict, record) => {
        this.#question = undefined;
        this.record.places.push({ ...record, atMs });
        this.#onPlace(verdict, preferred, send);
      },
    });
    if (!question.isOver) this.#question = question;
  }

  #goAlone(preferred: RunnerId | undefined, send: (runner: RunnerEntry | undefined) => void): void {
    if (this.#tries === 0 && !this.mayBegin()) {
      const detail = "the runners have no place for more programs";
      return this.refuse("overloaded", detail, PROGRAM_RETRY_AFTER_MS);
    }
    send(this.chooseRunner(preferred));
  }

  #onPlace(
    verdict: PlaceVerdict,
    preferred: RunnerId | undefined,
    send: (runner: RunnerEntry | undefined) => void,
  ): void {
    switch (verdict.type) {
      case "granted":
        this.#place = verdict.place;
        this.#choice = undefined;
        return send(verdict.runner);
      case "refused":
        return this.fail(
          UNAVAILABLE,
          "overloaded",
          `no place in time: ${verdict.reason}`,
          verdict.retryAfterMs,
        );
      case "alone":
        return this.#goAlone(preferred, send);
    }
  }

  #describe(preferred: RunnerId | undefined): PlaceCall {
    const { call, leftMs, elapsedMs } = this;
    const programMs = call.program?.deadlineMs;
    return {
      request: call.requestId,
      route: this.route.name,
      tenant: this.tenant?.name,
      program: call.program?.id,
      rank: this.rank,
      hasBegun: this.hasBegun,
      dueInMs: programMs === undefined ? leftMs : programMs - elapsedMs,
      patienceMs: Math.max(0, this.mostPlaceWaitMs),
      leftMs: Math.max(0, leftMs),
      tokens: this.tokens,
      preferred,
      excluded: [...this.excluded, ...this.silent],
    };
  }

  protected chooseRunner(preferred: RunnerId | undefined): RunnerEntry | undefined {
    const { board, connections, context } = this.parts;
    const choice = {
      pool: this.pool.name,
      zone: context.settings.zone,
      excluded: this.silent.size === 0 ? this.excluded : new Set([...this.excluded, ...this.silent]),
      preferred,
      promptTokens: this.call.promptTokens,
      nowMs: context.clock.monotonicMs(),
      sample: context.random.unit(),
    };
    this.#choice = choice;
    const chosen = board.choose({ ...choice, mayTake: connections.room(this.pool.name) });
    return chosen ?? board.choose({ ...choice, mayTake: connections.lastRoom(this.pool.name) });
  }

  /** Whether a first try may be made at a runner, or another one can still end in the call's time. */
  protected hasTimeAt(runner: RunnerEntry): boolean {
    if (this.#tries === 0 || !this.#choice) return true;
    return canStillEnd(this.leftMs, this.parts.board.expectedMs(runner.id, this.#choice));
  }

  /** Sends the call to a runner; false when it has been tried too often. */
  protected tryAt(
    runner: RunnerEntry,
    body: Buffer,
    lastEventId: number | undefined,
    listener: AttemptListener,
  ): boolean {
    this.#tries += 1;
    if (this.#tries > MAX_TRIES) {
      this.#returnPlace(false);
      return false;
    }
    const { exchange, call, leftMs } = this;
    const patienceMs = Math.max(MIN_PATIENCE_MS, this.route.targetLatencyMs * PATIENCE_FACTOR);
    const streaming = this.route.kind === "streaming";
    const request = {
      exchange,
      call,
      body,
      deadlineMs: leftMs,
      lastEventId,
      streaming,
      patienceMs,
      isLeased: this.#place !== undefined,
      urgency: this.urgency,
      tenant: this.tenant?.name,
      hidesKey: this.#hidesKey,
      work: this.route.name,
      isCached: this.#holder === runner.id,
    };
    this.#noteTry(runner);
    this.attempt = new RunnerAttempt(this.parts, runner, request, listener);
    if (this.mayMove(runner)) this.#watchSilence(this.attempt, patienceMs);
    return true;
  }

  /** Takes in that a try gave no answer. */
  protected noteFailure(runner: RunnerEntry, failure: AttemptFailure): void {
    if (failure.type === "broken") this.mayHaveRun.add(runner.id);
    else this.excluded.add(runner.id);
    const last = this.record.tries.at(-1);
    if (last) last.failure = failure.type === "notRun" ? `not run, status ${failure.status}` : failure.detail;
    this.#returnPlace(failure.type !== "broken");
    this.endTry();
  }

  #noteTry(runner: RunnerEntry): void {
    const { board, context } = this.parts;
    const load = board.load(runner.id);
    const failureRate = roundedShare(board.failureRate(runner.id, context.clock.monotonicMs()));
    const expectedMs = this.#choice && board.expectedMs(runner.id, this.#choice);
    if (expectedMs !== undefined) context.metrics.recordExpectedAttemptTime(expectedMs);
    const expected = expectedMs === undefined ? {} : { expectedMs: Math.round(expectedMs) };
    this.record.tries.push({ runner: runner.id, load, failureRate, ...expected, atMs: this.elapsedMs });
  }

  /** The runner has done with the present try. */
  protected endTry(): void {
    this.#returnPlace(false);
    const last = this.record.tries.at(-1);
    if (last) last.elapsedMs ??= this.elapsedMs - last.atMs;
  }

  #returnPlace(turnedAway: boolean): void {
    this.#place?.release(turnedAway);
    this.#place = undefined;
  }

  /** Time since the call arrived, in whole ms. */
  protected get elapsedMs(): number {
    return Math.round(this.parts.context.clock.monotonicMs() - this.exchange.arrivedAtMs);
  }

  /** Ends the call: no runner has run it, and none will. */
  protected refuse(kind: string, detail: string, retryAfterMs = RETRY_AFTER_MS): void {
    const { random } = this.parts.context;
    this.fail(UNAVAILABLE, kind, detail, retryAfterMs * (1 + random.unit()));
  }

  /** Ends the call: nobody can say whether it has run. */
  protected failUnknown(detail: string): void {
    this.fail(BAD_GATEWAY, "outcome-unknown", detail);
  }

  /** Ends the call with an answer of the system's own, or by breaking off one that has begun. */
  protected fail(status: number, kind: string, detail: string, retryAfterMs?: number): void {
    if (this.#over) return;
    const { started } = this.exchange;
    if (started) this.exchange.breakOff();
    else
      this.exchange.refuse({ status, kind, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) });
    this.finish({ status: started ? 0 : status, kind, detail: detail.slice(0, MAX_DETAIL) });
  }

  /** The call is over. */
  protected finish(end: CallEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.endTry();
    if (this.#question) this.parts.places.cancel(this.#question);
    const { elapsedMs, record } = this;
    this.parts.callLog.logCall(record, end, elapsedMs);
    this.parts.context.metrics.recordCall(record.route, end, elapsedMs, record.firstByteMs);
    if (this.#timer) this.parts.context.clock.cancel(this.#timer);
    this.#cancelSilenceTimer();
    this.attempt?.abort();
    this.onOver();
    this.exchange.releaseCall();
  }

  /** Moves the call from a runner that is silent and fails other requests too. */
  #watchSilence(attempt: RunnerAttempt, waitMs: number): void {
    const { clock } = this.parts.context;
    this.#cancelSilenceTimer();
    this.#silenceTimer = clock.schedule(waitMs, () => {
      if (this.#over || this.attempt !== attempt || !attempt.silent) return;
      if (!this.parts.board.isOutlier(attempt.runner.id, clock.monotonicMs())) {
        this.#watchSilence(attempt, SILENCE_POLL_MS);
        return;
      }
      this.silent.add(attempt.runner.id);
      attempt.giveUp();
    });
  }

  #cancelSilenceTimer(): void {
    if (this.#silenceTimer) this.parts.context.clock.cancel(this.#silenceTimer);
  }

  #onDeadline(): void {
    const sent = this.attempt !== undefined || this.exchange.started || this.mayHaveRun.size > 0;
    if (sent) this.fail(GATEWAY_TIMEOUT, "timeout", "The time of the call is over.");
    else this.refuse("timeout", "The time of the call is over; it was not run.");
  }

  #onGone(): void {
    this.finish({ status: 0, kind: this.exchange.wasCut ? "slow-reader" : "caller-gone" });
  }
}
