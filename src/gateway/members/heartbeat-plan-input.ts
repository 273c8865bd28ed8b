import type { RelayCandidate } from "../../coordination/relay-selection/index.ts";

/** What a plan depends on. */
export interface HeartbeatPlanInput {
  readonly self: RelayCandidate;
  /** Other gateways that are alive. */
  readonly others: readonly RelayCandidate[];
  /** Whether a gateway is heard itself, not only through relays. */
  readonly isHeard: (address: string) => boolean;
  /** Most gateways that send heartbeats to all others. */
  readonly directMost: number;
}
