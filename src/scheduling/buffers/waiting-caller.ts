/** A caller that a gateway is waiting for, either to read its answer or to send the rest of its request. */
export interface WaitingCaller {
  /** Bytes that are held for the caller. */
  readonly heldBytes: number;
  /** How long the caller has neither read nor sent anything, in ms. */
  readonly idleMs: number;
  /** Whether a runner is also waiting for the caller. */
  readonly holdsRunner: boolean;
}
