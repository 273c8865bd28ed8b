/** What is known of a caller that a gateway waits for: to take its answer, or to send the rest of its request. */
export interface WaitingCaller {
  /** Bytes that are held for it. */
  readonly heldBytes: number;
  /** Since when it has neither taken nor sent anything, in ms. */
  readonly idleMs: number;
  /** Whether a runner waits for it too. */
  readonly holdsRunner: boolean;
}
