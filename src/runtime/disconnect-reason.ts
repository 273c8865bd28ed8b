/** Why there is no longer a connection to an address. */
export type DisconnectReason =
  /** The connection was refused: no process listens at the address. */
  | "refused"
  /** The connection attempt timed out. */
  | "unanswered"
  /** An established connection ended, or connecting failed for another reason. */
  | "ended";
