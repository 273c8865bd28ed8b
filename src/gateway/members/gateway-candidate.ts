import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";

/** A gateway that is eligible for a task which rendezvous hashing assigns, such as handing out the places of a group. */
export interface GatewayCandidate extends OwnerCandidate {
  readonly instance: string;
  readonly address: string;
}
