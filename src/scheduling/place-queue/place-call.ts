import type { ProgramId } from "../ids/program-id.ts";
import type { RequestId } from "../ids/request-id.ts";
import type { RunnerId } from "../ids/runner-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** What a dispatcher needs to know about a call that requests a place. */
export interface PlaceCall {
  readonly request: RequestId;
  readonly route: string;
  readonly tenant: TenantName | undefined;
  readonly program: ProgramId | undefined;
  /** Combined rank of tenant and route; 0 is the most important. */
  readonly rank: number;
  /** Whether the call continues a program that has begun. */
  readonly hasBegun: boolean;
  /** Time until the program, or a call without a program, should be finished, in ms; may be negative. */
  readonly dueInMs: number;
  /** Longest time that the call may wait for a place, in ms. */
  readonly patienceMs: number;
  /**
   * Time until the call itself must be finished, including its time at the runner, in ms. Older builds omit it and use
   * the patience instead.
   */
  readonly leftMs?: number;
  /** Tokens of the prompt plus those that may be generated; 0 if the call does not go to a model. */
  readonly tokens: number;
  /** The runner that has cached most of the prompt. */
  readonly preferred: RunnerId | undefined;
  /** Runners that the call has already tried. */
  readonly excluded: readonly RunnerId[];
}
