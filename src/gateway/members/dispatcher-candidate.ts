import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";

/** A gateway that is eligible as the dispatcher of a group of runners, which grants their places to calls. */
export interface DispatcherCandidate extends OwnerCandidate {
  readonly instance: string;
  readonly address: string;
}
