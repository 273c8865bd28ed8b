/** Limits the request rate of a subject with `request-rate` alone, without daemons or a network. */
import { RateLimiter } from "../../src/coordination/request-rate/index.ts";

const LIMIT = { perSecond: 10, burst: 5 };
const OVERLAP_MS = 2_000;

/**
 * Runs the example; returns the numbers of admitted requests: at once, 300 ms later, and by the successor of an owner
 * that died, at its start, during the overlap and after it.
 */
export function runRequestRateExample(): number[] {
  const tolerance = { windowMs: 5_000, overage: 0.1, slack: 6 };
  const request = { subject: "tenant", wanted: 20, limit: LIMIT, limitVersion: 1 };
  const fullShare = 1;
  const firstOwner = new RateLimiter(tolerance, RateLimiter.firstOwnerState());
  const atOnce = firstOwner.take(request, fullShare, 10_000).granted;
  const later = firstOwner.take(request, fullShare, 10_300).granted;
  // The first owner may still be running behind a network partition. Its successor starts with a fraction of the
  // tolerance, and its buckets fill only after two seconds.
  const successor = new RateLimiter(tolerance, RateLimiter.stateWithoutHandOver(11_000 + OVERLAP_MS));
  const fromCredit = successor.take(request, fullShare, 11_000).granted;
  const duringOverlap = successor.take(request, fullShare, 12_900).granted;
  const after = successor.take(request, fullShare, 13_200).granted;
  return [atOnce, later, fromCredit, duringOverlap, after];
}
