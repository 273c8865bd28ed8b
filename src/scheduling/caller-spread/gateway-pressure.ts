/** How close a gateway is to its limits, measured since the previous sample. */
export interface GatewayPressure {
  /** Event loop utilization, from 0 to 1. */
  readonly busy: number;
  /** Memory in use as a share of its limit. */
  readonly memory: number;
  /** Calls in progress as a share of the number that fits into memory. */
  readonly calls: number;
  /** Whether the process stalled since the previous sample. */
  readonly stoodStill: boolean;
}
