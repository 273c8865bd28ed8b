/** What a gateway holds bytes for. */
export type BufferReason =
  /** Answers, or parts of them, that wait for their callers. */
  | "answers"
  /** Answers that are handed on only once they are whole. */
  | "collected"
  /** What requests bring, and the history that is sent before it. */
  | "bodies"
  /** What turns that are to be kept have said so far. */
  | "outputs";
