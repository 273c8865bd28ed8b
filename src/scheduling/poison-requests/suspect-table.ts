/**
 * Requests under which runners have ended. One of them may be the cause, and is then a poison request: it must not be sent to
 * more than a few runners. The others only ran beside it, or their runners were killed. Requests are known by the fingerprints
 * of their content, because each try has an identifier of its own.
 *
 * - The runners that end under a request are limited to {@link MAX_LOST_RUNNERS}. Runs in progress count as if their runners
 *   had ended.
 * - A runner that ended under a known poison request does not count against the requests beside it.
 * - The last run that is left to a request is made at a runner without any other suspect, and not while other runners end.
 * - A request that was run to its end is no suspect any more.
 */
import type { RequestFingerprint } from "../ids/request-fingerprint.ts";
import type { RequestId } from "../ids/request-id.ts";
import type { RunnerId } from "../ids/runner-id.ts";
import type { SuspectRun } from "./suspect-run.ts";
import type { SuspectVerdict } from "./suspect-verdict.ts";

/** Runners that may end under one request. */
export const MAX_LOST_RUNNERS = 3;
/** A request under which so many runners have ended runs apart from other suspects. */
export const LOST_RUNNERS_TO_SEPARATE = MAX_LOST_RUNNERS - 1;
/** Time without the end of another runner after which no more of them are expected to end, in ms. */
const CALM_MS = 300;
/** How long a request is remembered after the last runner ended under it, in ms: longer than callers try again. */
const SUSPECT_TTL_MS = 300_000;
const MAX_SUSPECTS = 10_000;

interface Suspect {
  readonly lost: Set<RunnerId>;
  isPoison: boolean;
  expiresAtMs: number;
}

interface RunInProgress {
  readonly fingerprint: RequestFingerprint;
  readonly runner: RunnerId;
  readonly expiresAtMs: number;
}

/** A request under which runners have ended. */
export interface KnownSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly lost: readonly RunnerId[];
  /** Whether it must not be sent to any runner. */
  readonly isPoison: boolean;
}

export class SuspectTable {
  /** In the order in which runners last ended under them. */
  readonly #suspects = new Map<RequestFingerprint, Suspect>();
  readonly #runs = new Map<RequestId, RunInProgress>();
  /** When runners that ended lately were first known to have, in ms of the monotonic clock. */
  readonly #endedAtMs = new Map<RunnerId, number>();

  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** The runners that have ended under a request. */
  lostUnder(fingerprint: RequestFingerprint, nowMs: number): readonly RunnerId[] {
    const suspect = this.#suspects.get(fingerprint);
    return suspect && suspect.expiresAtMs > nowMs ? [...suspect.lost] : [];
  }

  /** Whether a request must not be sent to any runner. */
  isPoison(fingerprint: RequestFingerprint, nowMs: number): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect?.isPoison === true && suspect.expiresAtMs > nowMs;
  }

  /** Requests under which several runners have ended. */
  repeated(nowMs: number): KnownSuspect[] {
    this.#dropExpired(nowMs);
    return [...this.#suspects]
      .filter(([, { lost }]) => lost.size >= LOST_RUNNERS_TO_SEPARATE)
      .map(([fingerprint, { lost, isPoison }]) => ({ fingerprint, lost: [...lost], isPoison }));
  }

  /** Records runners that have ended under a request; returns whether any of them was not known. */
  recordLost(fingerprint: RequestFingerprint, runners: readonly RunnerId[], nowMs: number): boolean {
    this.#dropExpired(nowMs);
    const known = this.#suspects.get(fingerprint);
    const suspect = known ?? { lost: new Set<RunnerId>(), isPoison: false, expiresAtMs: 0 };
    const added = runners.filter((runner) => !suspect.lost.has(runner));
    if (added.length === 0) return false;
    for (const runner of added) {
      suspect.lost.add(runner);
      if (!this.#endedAtMs.has(runner)) this.#endedAtMs.set(runner, nowMs);
    }
    suspect.expiresAtMs = nowMs + SUSPECT_TTL_MS;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    suspect.isPoison ||= this.#unexplained(fingerprint).length >= MAX_LOST_RUNNERS;
    this.#dropOldest();
    return true;
  }

  /** Records what another gateway knows of a request. */
  learn({ fingerprint, lost, isPoison }: KnownSuspect, nowMs: number): void {
    this.recordLost(fingerprint, lost, nowMs);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect && isPoison) suspect.isPoison = true;
  }

  /** Records that a request was run to its end: it does not end runners. */
  clear(fingerprint: RequestFingerprint): void {
    this.#suspects.delete(fingerprint);
  }

  /** Decides whether a run may begin. A granted run counts as in progress until {@link endRun} is called. */
  admit(run: SuspectRun, nowMs: number): SuspectVerdict {
    const { fingerprint, request, runner } = run;
    this.recordLost(fingerprint, run.lost, nowMs);
    this.#dropEndedRuns(nowMs);
    const lost = this.lostUnder(fingerprint, nowMs);
    if (this.isPoison(fingerprint, nowMs)) return { type: "poison", lost };
    const others = [...this.#runs].filter(([other]) => other !== request).map(([, inProgress]) => inProgress);
    const ownRuns = others.filter((other) => other.fingerprint === fingerprint).length;
    if (this.#unexplained(fingerprint).length + ownRuns >= MAX_LOST_RUNNERS) return { type: "running", lost };
    if (!run.isOverdue) {
      if (this.#isSeparated(fingerprint) && this.#hasUnsettled(fingerprint, nowMs))
        return { type: "unsettled", lost };
      const taken = this.#runnersToAvoid(fingerprint, others);
      if (taken.includes(runner)) return { type: "taken", lost, taken };
    }
    this.#runs.set(request, { fingerprint, runner, expiresAtMs: nowMs + run.leaseMs });
    return { type: "granted", lost };
  }

  /** Records that the run of a try at a runner is over. The try may have gone on to another one. */
  endRun(request: RequestId, runner: RunnerId): void {
    if (this.#runs.get(request)?.runner === runner) this.#runs.delete(request);
  }

  /** The runners that have ended under a request, without those that ended under a known poison request beside it. */
  #unexplained(fingerprint: RequestFingerprint): RunnerId[] {
    const lost = this.#suspects.get(fingerprint)?.lost ?? new Set<RunnerId>();
    const poison = [...this.#suspects].filter(([other, { isPoison }]) => isPoison && other !== fingerprint);
    return [...lost].filter((runner) => !poison.some(([, other]) => other.lost.has(runner)));
  }

  /** Whether only one more runner may end under a request. */
  #isSeparated(fingerprint: RequestFingerprint): boolean {
    return this.#unexplained(fingerprint).length >= LOST_RUNNERS_TO_SEPARATE;
  }

  /** Whether a runner has ended lately under other requests, and it is not known under which of them. */
  #hasUnsettled(fingerprint: RequestFingerprint, nowMs: number): boolean {
    const own = this.#suspects.get(fingerprint)?.lost;
    const poison = [...this.#suspects.values()].filter(({ isPoison }) => isPoison);
    for (const [runner, endedAtMs] of this.#endedAtMs) {
      if (nowMs - endedAtMs > CALM_MS) this.#endedAtMs.delete(runner);
      else if (!own?.has(runner) && !poison.some(({ lost }) => lost.has(runner))) return true;
    }
    return false;
  }

  /** Runners at which another suspect runs, if that one or the given request is to run apart from others. */
  #runnersToAvoid(fingerprint: RequestFingerprint, runs: readonly RunInProgress[]): RunnerId[] {
    const isSeparated = this.#isSeparated(fingerprint);
    return runs
      .filter((run) => run.fingerprint !== fingerprint)
      .filter((run) => isSeparated || this.#isSeparated(run.fingerprint))
      .map((run) => run.runner);
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
