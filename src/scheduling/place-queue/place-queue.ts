/**
 * Calls that wait for a place of a group of runners. They are ordered by priority, then by fairness between tenants, then
 * by the deadlines of a tenant's own programs. Lookups by order scan all calls; the dispatcher's forecasts keep their
 * number low. No I/O.
 */
import { agedRank } from "./aged-rank.ts";
import { goesBefore } from "./goes-before.ts";
import { goesBeforeWithinTenant } from "./goes-before-within-tenant.ts";
import type { TenantShare } from "./tenant-share.ts";
import type { WaitingCall } from "./waiting-call.ts";

/** The queue of one group of runners. */
export class PlaceQueue {
  readonly #waiting = new Map<number, WaitingCall>();

  /** Number of calls that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Every waiting call. */
  calls(): IterableIterator<WaitingCall> {
    return this.#waiting.values();
  }

  /** The waiting call to which a lease will be granted. */
  get(lease: number): WaitingCall | undefined {
    return this.#waiting.get(lease);
  }

  add(waiting: WaitingCall): void {
    this.#waiting.set(waiting.lease, waiting);
  }

  remove(waiting: WaitingCall): void {
    this.#waiting.delete(waiting.lease);
  }

  /**
   * The call that gets the next place.
   *
   * @param skipped calls that are not considered
   */
  first(nowMs: number, skipped: ReadonlySet<WaitingCall>): WaitingCall | undefined {
    let first: WaitingCall | undefined;
    for (const waiting of this.#waiting.values()) {
      if (skipped.has(waiting)) continue;
      if (!first || goesBefore(waiting, first, nowMs)) first = waiting;
    }
    return first;
  }

  /**
   * How many waiting calls get a place before a given one, if no more calls arrive.
   *
   * @param holdingMs how long calls hold their places
   */
  countAhead(candidate: WaitingCall, holdingMs: number, nowMs: number): number {
    const rank = agedRank(candidate, nowMs);
    const otherShares: TenantShare[] = [];
    let ahead = 0;
    let sameTenantAhead = 0;
    for (const waiting of this.#waiting.values()) {
      if (waiting === candidate) continue;
      const otherRank = agedRank(waiting, nowMs);
      if (otherRank > rank) continue;
      if (otherRank < rank) ahead += 1;
      else if (waiting.share === candidate.share)
        sameTenantAhead += goesBeforeWithinTenant(waiting, candidate, nowMs) ? 1 : 0;
      else {
        if (waiting.share.countedCalls === 0) otherShares.push(waiting.share);
        waiting.share.countedCalls += 1;
      }
    }
    // What the candidate's tenant will have used by the time that the candidate is its next call.
    const candidateUsedMs = candidate.share.usedMs + (sameTenantAhead * holdingMs) / candidate.share.weight;
    for (const share of otherShares) {
      const placesBefore = Math.ceil(((candidateUsedMs - share.usedMs) * share.weight) / holdingMs);
      ahead += Math.max(0, Math.min(share.countedCalls, placesBefore));
      share.countedCalls = 0;
    }
    return ahead + sameTenantAhead;
  }
}
