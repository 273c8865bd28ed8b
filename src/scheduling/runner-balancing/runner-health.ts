/** Tracks this gateway's requests at one runner and their recent outcomes. Older outcomes count less. Pure. */
import type { OutcomeCounts } from "./outcome-counts.ts";
import type { PendingRequest } from "./pending-request.ts";
import type { RequestOutcome } from "./request-outcome.ts";

/** Time in which the weight of an outcome halves, in ms. A pace is valid for as long. */
const HALF_LIFE_MS = 3_000;
/** Weight of the newest sample in the average pace. */
const SAMPLE_WEIGHT = 0.3;

/** Requests in flight, decaying outcome counts and average pace of one runner. */
export class RunnerHealth {
  readonly #pending = new Set<PendingRequest>();
  #leased = 0;
  #successes = 0;
  #failures = 0;
  #decayedAtMs = 0;
  #paceMs: number | undefined;
  #paceUpdatedAtMs = 0;

  /** Number of requests in flight, whether their answer has begun or not. */
  get inFlight(): number {
    return this.#pending.size;
  }

  /** Number of requests in flight that were placed by a dispatcher. */
  get leased(): number {
    return this.#leased;
  }

  /** Counts a request that is sent to the runner. */
  begin(pending: PendingRequest): void {
    this.#pending.add(pending);
    if (pending.isLeased) this.#leased += 1;
  }

  /** Records the time of one step: a whole answer, or one event of a stream. */
  recordPace(stepMs: number, nowMs: number): void {
    const last = this.paceMs(nowMs) ?? stepMs;
    this.#paceMs = last + (stepMs - last) * SAMPLE_WEIGHT;
    this.#paceUpdatedAtMs = nowMs;
  }

  /** Records the end of a request. An abandoned request counts as a failure if it was overdue. */
  end(pending: PendingRequest, outcome: RequestOutcome, nowMs: number): void {
    if (!this.#pending.delete(pending)) return;
    if (pending.isLeased) this.#leased -= 1;
    this.#decay(nowMs);
    if (outcome === "success") this.#successes += 1;
    if (outcome === "failure" || (outcome === "abandoned" && isOverdue(pending, nowMs))) this.#failures += 1;
  }

  /** Outcomes of the last seconds. A request counts as a failure while it is overdue. */
  counts(nowMs: number): OutcomeCounts {
    this.#decay(nowMs);
    let overdue = 0;
    for (const pending of this.#pending) if (isOverdue(pending, nowMs)) overdue += 1;
    return { successes: this.#successes, failures: this.#failures + overdue };
  }

  /** Whether any request failed recently or is overdue. */
  hasFailures(nowMs: number): boolean {
    if (this.#failures > 0) return true;
    for (const pending of this.#pending) if (isOverdue(pending, nowMs)) return true;
    return false;
  }

  /** When the pace was last updated, in ms of the monotonic clock. */
  get paceUpdatedAtMs(): number {
    return this.#paceUpdatedAtMs;
  }

  /** Average time of one step, in ms; undefined if no step was recorded recently. */
  paceMs(nowMs: number): number | undefined {
    return nowMs - this.#paceUpdatedAtMs <= HALF_LIFE_MS ? this.#paceMs : undefined;
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - this.#decayedAtMs;
    this.#decayedAtMs = nowMs;
    if (this.#successes === 0 && this.#failures === 0) return;
    const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.#successes *= factor;
    this.#failures *= factor;
  }
}

/** Whether a request has had no answer for longer than its patience. */
function isOverdue(pending: PendingRequest, nowMs: number): boolean {
  return !pending.answered && nowMs - pending.startedAtMs > pending.patienceMs;
}
