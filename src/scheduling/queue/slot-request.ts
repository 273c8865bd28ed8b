import type { PriorityClass } from "../policy/effective-policy.ts";

/** A request of a shard's leader to a runner's home for a slot in which a call can run. */
export interface SlotRequest {
  readonly call: string;
  readonly attempt: number;
  readonly program: string;
  readonly tenant: string;
  readonly priorityClass: PriorityClass;
  readonly weight: number;
  /** Time left until the program's deadline, in ms; undefined without a deadline. */
  readonly slackMs: number | undefined;
  /** Time that back ends have spent on the program so far, in ms. */
  readonly attainedServiceMs: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Longest time that the call may wait in the queue, in ms. */
  readonly patienceMs: number;
}

/** Identifies one attempt of a call. */
export function slotKey(call: string, attempt: number): string {
  return `${call}#${attempt}`;
}
