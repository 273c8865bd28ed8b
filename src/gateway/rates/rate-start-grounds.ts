/** By what an owner of limits decided how its buckets begin, for the log. */
export type RateStartGrounds =
  /** Nobody has owned the partition before: buckets are full. */
  | "first"
  /** The owner before has left what was in them. */
  | "handed over"
  /** The owner before has let go, and left nothing: they are empty. */
  | "released"
  /** The owner before is known to have ended: they have been filling since then. */
  | "ended"
  /** The owner before may still admit requests: they are empty, and fill later. */
  | "doubt"
  /** This process stood still, and the store does not say that the partition is still its own: the same. */
  | "standstill";
