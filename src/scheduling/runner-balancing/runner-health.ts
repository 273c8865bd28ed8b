/** How requests at one runner have fared lately, as this node has seen it. Older outcomes fade. Pure. */
import type { OutcomeCounts } from "./outcome-counts.ts";
import type { PendingRequest } from "./pending-request.ts";
import type { RequestOutcome } from "./request-outcome.ts";

/** Time in which the weight of an outcome halves, in ms. */
const HALF_LIFE_MS = 3_000;
/** Weight of the newest sample in the average pace. */
const SAMPLE_WEIGHT = 0.3;

/** See the module's comment. */
export class RunnerHealth {
  readonly #pending = new Set<PendingRequest>();
  #leased = 0;
  #successes = 0;
  #failures = 0;
  #decayedAtMs = 0;
  #paceMs: number | undefined;
  #paceUpdatedAtMs = 0;

  /** Requests without a head of an answer yet, and those whose answer is under way. */
  get inFlight(): number {
    return this.#pending.size;
  }

  /** Requests in flight that a dispatcher has placed. */
  get leased(): number {
    return this.#leased;
  }

  /** A request leaves for the runner. */
  begin(pending: PendingRequest): void {
    this.#pending.add(pending);
    if (pending.isLeased) this.#leased += 1;
  }

  /** How long the runner took for one step of its work: an answer, or an event of a stream. */
  recordPace(stepMs: number, nowMs: number): void {
    const last = this.paceMs(nowMs) ?? stepMs;
    this.#paceMs = last + (stepMs - last) * SAMPLE_WEIGHT;
    this.#paceUpdatedAtMs = nowMs;
  }

  /** The request is over. One that is given up on counts as failed if it had been silent for too long. */
  end(pending: PendingRequest, outcome: RequestOutcome, nowMs: number): void {
    if (!this.#pending.delete(pending)) return;
    if (pending.isLeased) this.#leased -= 1;
    this.#decay(nowMs);
    if (outcome === "success") this.#successes += 1;
    if (outcome === "failure" || (outcome === "abandoned" && isOverdue(pending, nowMs))) this.#failures += 1;
  }

  /** Outcomes of the last seconds; a request that is silent for too long counts as a failure meanwhile. */
  counts(nowMs: number): OutcomeCounts {
    this.#decay(nowMs);
    let overdue = 0;
    for (const pending of this.#pending) if (isOverdue(pending, nowMs)) overdue += 1;
    return { successes: this.#successes, failures: this.#failures + overdue };
  }

  /** Whether any request failed lately, or is silent for too long. */
  hasFailures(nowMs: number): boolean {
    if (this.#failures > 0) return true;
    for (const pending of this.#pending) if (isOverdue(pending, nowMs)) return true;
    return false;
  }

  /** When the pace was last seen, in ms of the monotonic clock. */
  get paceUpdatedAtMs(): number {
    return this.#paceUpdatedAtMs;
  }

  /** Average time of one step, in ms; undefined when none was seen lately. */
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

function isOverdue(pending: PendingRequest, nowMs: number): boolean {
  return !pending.answered && nowMs - pending.startedAtMs > pending.patienceMs;
}
