/**
 * Requests under which runners have ended. One of them may be the cause, and is then a poison request: it must not be sent to
 * more than a few runners. The others only ran beside it, or their runners were killed. Requests are known by the fingerprints
 * of their content, because each try has an identifier of its own.
 *
 * - The runners that end under a request are limited to {@link MAX_LOST_RUNNERS}, whatever ends them. Runs in progress count as
 *   if their runners had ended.
 * - Suspects run apart from each other where that is possible, unless all their runners ended together with others. The last run
 *   that is left to one is made at a runner without any other suspect, and not while runners end together.
 * - A request that was run to its end is no suspect any more.
 */
import type { RequestFingerprint } from "../ids/request-fingerprint.ts";
import type { RequestId } from "../ids/request-id.ts";
import type { RunnerId } from "../ids/runner-id.ts";
import { EndedRunners } from "./ended-runners.ts";
import { Suspect } from "./suspect.ts";
import type { SuspectRun } from "./suspect-run.ts";
import type { SuspectVerdict } from "./suspect-verdict.ts";

/** Runners that may end under one request. */
export const MAX_LOST_RUNNERS = 3;
/** Time without runners that end together after which no more of them are expected to, in ms. */
const CALM_MS = 300;
/** How long a request is remembered after the last runner ended under it, in ms: longer than callers try again. */
const SUSPECT_TTL_MS = 300_000;
const MAX_SUSPECTS = 10_000;

interface RunInProgress {
  readonly fingerprint: RequestFingerprint;
  readonly runner: RunnerId;
  readonly expiresAtMs: number;
}

/** What is told of a request under which several runners have ended. */
export interface KnownSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly lost: readonly RunnerId[];
}

export class SuspectTable {
  /** In the order in which runners last ended under them. */
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  readonly #runs = new Map<RequestId, RunInProgress>();
  readonly #ended = new EndedRunners();

  isEmpty(nowMs: number): boolean {
    this.#dropExpired(nowMs);
    return this.#suspects.size === 0;
  }

  /** The runners that have ended under a request. */
  lostUnder(fingerprint: RequestFingerprint, nowMs: number): readonly RunnerId[] {
    return this.#find(fingerprint, nowMs)?.lost ?? [];
  }

  /** Whether a request must not be sent to any runner. */
  isPoison(fingerprint: RequestFingerprint, nowMs: number): boolean {
    return this.lostUnder(fingerprint, nowMs).length >= MAX_LOST_RUNNERS;
  }

  /** What others have to know of a request; undefined unless several runners have ended under it. */
  describe(fingerprint: RequestFingerprint, nowMs: number): KnownSuspect | undefined {
    const lost = this.lostUnder(fingerprint, nowMs);
    return lost.length > 1 ? { fingerprint, lost } : undefined;
  }

  /** The same of all requests. */
  describeAll(nowMs: number): KnownSuspect[] {
    this.#dropExpired(nowMs);
    return [...this.#suspects.keys()].flatMap((fingerprint) => this.describe(fingerprint, nowMs) ?? []);
  }

  /** Records that a runner has just ended under a request; returns whether that was not known. */
  recordLost(fingerprint: RequestFingerprint, runner: RunnerId, nowMs: number): boolean {
    this.#ended.record(runner, nowMs);
    return this.learnLost(fingerprint, [runner], nowMs);
  }

  /** Records runners that have ended under a request at some time; returns whether any of them was not known. */
  learnLost(fingerprint: RequestFingerprint, runners: readonly RunnerId[], nowMs: number): boolean {
    this.#dropExpired(nowMs);
    const suspect = this.#suspects.get(fingerprint) ?? new Suspect();
    if (!suspect.add(runners)) return false;
    suspect.expiresAtMs = nowMs + SUSPECT_TTL_MS;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    this.#dropOldest();
    return true;
  }

  /** Records that a request was run to its end: the runners that are known to have ended under it were ended by something else. */
  clear(fingerprint: RequestFingerprint): void {
    this.#suspects.get(fingerprint)?.excuse();
  }

  /** Decides whether a run may begin. A granted run counts as in progress until {@link endRun} is called. */
  admit(run: SuspectRun, nowMs: number): SuspectVerdict {
    const { fingerprint, request, runner } = run;
    this.learnLost(fingerprint, run.lost, nowMs);
    this.#dropEndedRuns(nowMs);
    const lost = this.lostUnder(fingerprint, nowMs);
    if (lost.length >= MAX_LOST_RUNNERS) return { type: "poison", lost };
    const hasBeenCleared = lost.length === 0 && run.lost.length > 0;
    const others = [...this.#runs].filter(([other]) => other !== request).map(([, inProgress]) => inProgress);
    const ownRuns = others.filter((other) => other.fingerprint === fingerprint).length;
    // Requests that have the same content may be of several callers: none of them waits for the others all its time.
    const mayWait = !run.isOverdue && !hasBeenCleared;
    if (lost.length + ownRuns >= MAX_LOST_RUNNERS && mayWait) return { type: "running", lost };
    const isLast = lost.length === MAX_LOST_RUNNERS - 1;
    if (isLast && !run.isOverdue && this.#ended.calmForMs(nowMs) < CALM_MS)
      return { type: "unsettled", lost };
    const taken = run.isOverdue ? [] : this.#runnersToAvoid(run, others, isLast, nowMs);
    if (taken.includes(runner)) return { type: "taken", lost, taken };
    this.#runs.set(request, { fingerprint, runner, expiresAtMs: nowMs + run.leaseMs });
    return { type: "granted", lost, isLast };
  }

  /** Records that the run of a try at a runner is over. The try may have gone on to another one. */
  endRun(request: RequestId, runner: RunnerId): void {
    if (this.#runs.get(request)?.runner === runner) this.#runs.delete(request);
  }

  /** Runners at which other suspects run. A run that may share its runner only avoids those with their last run. */
  #runnersToAvoid(
    { fingerprint, acceptsShared }: SuspectRun,
    runs: readonly RunInProgress[],
    isLast: boolean,
    nowMs: number,
  ): RunnerId[] {
    const others = runs.filter((run) => run.fingerprint !== fingerprint);
    const mayShare = !isLast && (acceptsShared || !this.#mayBeCause(fingerprint, nowMs));
    const avoided = others.filter((run) => {
      if (mayShare) return this.#isLastRun(run, nowMs);
      return isLast || this.#mayBeCause(run.fingerprint, nowMs);
    });
    return avoided.map((run) => run.runner);
  }

  #mayBeCause(fingerprint: RequestFingerprint, nowMs: number): boolean {
    return this.#find(fingerprint, nowMs)?.mayBeCause(this.#ended) === true;
  }

  #isLastRun({ fingerprint }: RunInProgress, nowMs: number): boolean {
    return this.lostUnder(fingerprint, nowMs).length === MAX_LOST_RUNNERS - 1;
  }

  #find(fingerprint: RequestFingerprint, nowMs: number): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect && suspect.expiresAtMs > nowMs ? suspect : undefined;
  }

  #dropEndedRuns(nowMs: number): void {
    for (const [request, { expiresAtMs }] of this.#runs) if (expiresAtMs <= nowMs) this.#runs.delete(request);
  }

  #dropExpired(nowMs: number): void {
    for (const [fingerprint, { expiresAtMs }] of this.#suspects) {
      if (expiresAtMs > nowMs) return;
      this.#suspects.delete(fingerprint);
    }
  }

  #dropOldest(): void {
    const [oldest] = this.#suspects.keys();
    if (this.#suspects.size > MAX_SUSPECTS && oldest !== undefined) this.#suspects.delete(oldest);
  }
}
