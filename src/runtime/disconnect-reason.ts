/** Why there is no connection to an address any more. */
export type DisconnectReason =
  /** Nobody listens there. */
  | "refused"
  /** Nobody answered the attempt to connect. */
  | "unanswered"
  /** There was one. */
  | "ended";
