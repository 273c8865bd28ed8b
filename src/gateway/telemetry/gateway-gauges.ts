import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";

/** Numbers of the whole process, read when the metrics are. */
export interface GatewayGauges {
  readonly members: () => number;
  readonly partitions: () => number;
  readonly requestsInProgress: () => number;
  readonly runnerConnections: () => number;
  readonly headroom: () => number;
  readonly heldBytes: (reason: BufferReason) => number;
  readonly omittedLogLines: () => number;
  readonly configurationVersion: () => number;
  /** For how long nothing newer than the configuration in force can have been known, in ms. */
  readonly configurationBehindMs: () => number;
  readonly storeReachable: () => boolean;
}
