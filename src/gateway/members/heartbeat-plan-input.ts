import type { RelayCandidate } from "../../coordination/relay-selection/index.ts";

/** Input for `planHeartbeats`. */
export interface HeartbeatPlanInput {
  readonly self: RelayCandidate;
  /** The other gateways that are alive. */
  readonly others: readonly RelayCandidate[];
  /** Returns whether heartbeats of a gateway arrive directly, not only through relays. */
  readonly isHeard: (address: string) => boolean;
  /** Largest number of gateways for which each one sends heartbeats to all others. */
  readonly directMost: number;
}
