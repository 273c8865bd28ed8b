/** Decision on a call that needs a place: a dispatcher's answer, or the gateway's own decision and its reason. */
export interface PlaceRecord {
  readonly verdict: "granted" | "refused" | "alone";
  /** Why the call was refused, or placed by its gateway without a dispatcher. */
  readonly reason?: string;
  /** Why its gateway refused the call without a dispatcher's answer. */
  readonly unasked?: string;
  /** The gateway that was asked, and the group of the pool's runners that it dispatches. */
  readonly dispatcher?: string;
  readonly group?: number;
  readonly lease?: number;
  /** The wait that was forecast, in whole ms; undefined if there was no forecast. */
  readonly expectedMs?: number;
  /** How long calls of the route hold their places by the forecast that led to the refusal, in whole ms. */
  readonly holdingMs?: number;
  /**
   * How late this gateway itself was when it gave up waiting for an answer, in whole ms: a gateway that was delayed cannot
   * distinguish a slow dispatcher from its own delay.
   */
  readonly ownDelayMs?: number;
  /** The tenant whose call was granted a place last before this one. */
  readonly behind?: string;
  /** Time from the request for a place until the decision, in whole ms. */
  readonly waitedMs: number;
}
