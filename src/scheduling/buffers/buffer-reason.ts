/** What the bytes that a gateway holds are for. */
export type BufferReason =
  /** Answers, or parts of them, that callers have not read yet. */
  | "answers"
  /** Answers that are sent to the caller only when they are complete. */
  | "collected"
  /** Request bodies, and the history that is sent to the runner before them. */
  | "bodies"
  /** Requests that are being served: their heads, and the objects that serve them. */
  | "requests"
  /** Output so far of turns that will be retained. */
  | "outputs";
