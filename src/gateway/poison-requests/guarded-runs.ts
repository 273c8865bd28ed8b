/** The runs of one call, as far as runners have ended under its request: in this try or in an earlier one. */
import type { RequestFingerprint } from "../../scheduling/ids/request-fingerprint.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { SuspectOutcome, SuspectRun, SuspectVerdict } from "../../scheduling/poison-requests/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { ReportedRun } from "../gateway-messages.ts";
import type { RunnerCondition } from "../runners/runner-end-detector.ts";
import type { RepeatedContent } from "./fingerprint-of.ts";
import { fingerprintOf } from "./fingerprint-of.ts";
import type { PoisonGuard } from "./poison-guard.ts";

/** How long a request waits for a runner without other suspects if it may share one, in ms. */
const MAX_APART_WAIT_MS = 300;
/** How long a request that may not waits for a runner without other suspects and for calm, in ms; at most half of its time is spent so. */
const MAX_WAIT_MS = 1_000;

/** Which request the runs are of. */
export interface GuardedRequest {
  readonly pool: string;
  readonly request: RequestId;
  readonly content: () => RepeatedContent;
}

export class GuardedRuns {
  readonly #guard: PoisonGuard;
  readonly #request: GuardedRequest;
  readonly #nowMs: () => number;
  /** Runners that have ended under this try. */
  readonly #lost: RunnerId[] = [];
  #fingerprint: RequestFingerprint | undefined;
  /** The run that was granted; undefined if there is none, or if none had to be asked for. */
  #granted: SuspectRun | undefined;
  #askedSinceMs: number | undefined;
  #leftWhenAskedMs = 0;
  #taken: readonly RunnerId[] = [];

  constructor(guard: PoisonGuard, request: GuardedRequest, nowMs: () => number) {
    this.#guard = guard;
    this.#request = request;
    this.#nowMs = nowMs;
  }

  /** The content of the request, by which its tries are recognized. */
  get fingerprint(): RequestFingerprint {
    this.#fingerprint ??= fingerprintOf(this.#request.content());
    return this.#fingerprint;
  }

  /** Whether a runner is known to have ended under the request. */
  get isSuspect(): boolean {
    return this.#lost.length > 0 || (!this.#guard.isIdle && this.#guard.lostCount(this.fingerprint) > 0);
  }

  /** Whether the request must not be sent to any runner. */
  get isPoison(): boolean {
    return !this.#guard.isIdle && this.#guard.isPoison(this.fingerprint);
  }

  /** Whether a run is better made at another runner: other suspects run there, or it is reserved for one. */
  shouldAvoid(runner: RunnerId): boolean {
    return this.#taken.includes(runner) || this.#guard.isReserved(runner);
  }

  /** Whether any runner should be avoided. */
  get hasRunnersToAvoid(): boolean {
    return this.#taken.length > 0 || this.#guard.hasReservations;
  }

  /** Finds out and records whether a runner that has broken off its answer has ended. */
  async checkBreak(runner: RunnerEntry): Promise<RunnerCondition> {
    const granted = this.#granted;
    this.#granted = undefined;
    const condition = await this.#guard.checkBreak(this.#runAt(runner.id), runner);
    if (condition === "ended") this.#lost.push(runner.id);
    else if (granted) this.#guard.endRun(this.#request.pool, granted, "unknown");
    return condition;
  }

  /** Asks whether a run may begin. A granted run lasts until {@link end}, {@link endWhole} or {@link checkBreak}. */
  async admit({ id }: RunnerEntry, leaseMs: number): Promise<SuspectVerdict["type"]> {
    const nowMs = this.#nowMs();
    if (this.#askedSinceMs === undefined) this.#leftWhenAskedMs = leaseMs;
    this.#askedSinceMs ??= nowMs;
    const waitedMs = nowMs - this.#askedSinceMs;
    const run: SuspectRun = {
      fingerprint: this.fingerprint,
      request: this.#request.request,
      runner: id,
      lost: this.#lost,
      leaseMs: Math.max(0, leaseMs),
      acceptsShared: waitedMs > MAX_APART_WAIT_MS,
      isOverdue: waitedMs > MAX_WAIT_MS || leaseMs < this.#leftWhenAskedMs / 2,
    };
    const verdict = await this.#guard.admit(this.#request.pool, run);
    this.#taken = verdict.type === "taken" ? verdict.taken : [];
    if (verdict.type === "granted") {
      this.#granted = run;
      this.#askedSinceMs = undefined;
    }
    return verdict.type;
  }

  /** Records the end of the granted run, if there is one. */
  end(): void {
    this.#endGranted("unknown");
  }

  /** Records that the request was run from its start to its end, by a run that was granted or that began before. */
  endWhole(): void {
    if (this.#granted) this.#endGranted("whole");
    else if (this.isSuspect) this.#guard.clear(this.#request.pool, this.fingerprint);
  }

  #endGranted(outcome: SuspectOutcome): void {
    if (this.#granted) this.#guard.endRun(this.#request.pool, this.#granted, outcome);
    this.#granted = undefined;
  }

  /** Records that the call gives up a run whose runner may still end under it. */
  recordAbandoned({ id }: RunnerEntry): void {
    this.#guard.recordAbandoned(this.#runAt(id));
  }

  #runAt(runner: RunnerId): ReportedRun {
    const { pool, request } = this.#request;
    return { pool, fingerprint: this.fingerprint, request, runner };
  }
}
