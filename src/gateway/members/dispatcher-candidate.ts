import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";

/** A gateway that may hand out places. */
export interface DispatcherCandidate extends OwnerCandidate {
  readonly instance: string;
  readonly address: string;
}
