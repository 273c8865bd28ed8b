/** Bounds what subjects send, as one owner of their limits: `request-rate` alone, without daemons or a network. */
import { RateLedger } from "../../src/coordination/request-rate/index.ts";

const LIMIT = { perSecond: 10, burst: 5 };
const DOUBT_MS = 2_000;

/** Requests admitted: at once, a second later, and by the owner that follows when the first one dies. */
export function runRequestRateExample(): number[] {
  const tolerance = { windowMs: 5_000, overage: 0.1, slack: 6 };
  const demand = { subject: "tenant", wanted: 20, limit: LIMIT, limitVersion: 1 };
  const everybody = 1;
  const owner = new RateLedger(tolerance, RateLedger.first());
  const atOnce = owner.take(demand, everybody, 10_000).granted;
  const later = owner.take(demand, everybody, 10_300).granted;
  // The first owner may live on, cut off: its follower begins with a part of the tolerance, and fills after two seconds.
  const follower = new RateLedger(tolerance, RateLedger.after(11_000 + DOUBT_MS));
  const onCredit = follower.take(demand, everybody, 11_000).granted;
  const inDoubt = follower.take(demand, everybody, 12_900).granted;
  const after = follower.take(demand, everybody, 13_200).granted;
  return [atOnce, later, onCredit, inDoubt, after];
}
