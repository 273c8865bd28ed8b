import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";

/** Functions that return the current values of the process's gauges when metrics are read. */
export interface GatewayGauges {
  readonly members: () => number;
  readonly partitions: () => number;
  readonly requestsInProgress: () => number;
  readonly runnerConnections: () => number;
  readonly headroom: () => number;
  readonly heldBytes: (reason: BufferReason) => number;
  /** Bytes that callers have sent and that have not been processed yet. */
  readonly unprocessedBytes: () => number;
  readonly callerConnections: () => number;
  /** Memory of the programs of owned partitions, and of their cached turns, in bytes. */
  readonly programBytes: () => number;
  readonly cachedTurnBytes: () => number;
  readonly omittedLogLines: () => number;
  readonly configurationVersion: () => number;
  /** Upper bound on how outdated the configuration in force is, in ms. */
  readonly configurationBehindMs: () => number;
  readonly storeReachable: () => boolean;
}
