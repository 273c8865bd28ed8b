/** Why a partition's owner chose the initial state of its token buckets, for the log. */
export type RateStartGrounds =
  /** The partition had no owner before: the buckets are full. */
  | "first"
  /** The previous owner handed over the contents of its buckets. */
  | "handed over"
  /** The previous owner released the partition without handing anything over: the buckets are empty. */
  | "released"
  /** The previous owner is known to have ended: the buckets have been filling since then. */
  | "ended"
  /** The previous owner may still admit requests: the buckets are empty, and start to fill later. */
  | "doubt"
  /** This process was paused, and the store does not confirm that it still owns the partition: as for "doubt". */
  | "standstill";
