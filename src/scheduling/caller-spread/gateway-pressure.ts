/** How near a gateway is to what it can do, over the time since the look before. */
export interface GatewayPressure {
  /** Share of the time in which its event loop was busy, 0 to 1. */
  readonly busy: number;
  /** Memory in use as a share of its limit. */
  readonly memory: number;
  /** Calls in progress as a share of those that its memory holds. */
  readonly calls: number;
  /** Whether it stood still meanwhile. */
  readonly stoodStill: boolean;
}
