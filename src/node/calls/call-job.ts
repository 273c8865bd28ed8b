import type { Problem } from "../../errors/problem.ts";
import type { Decision } from "../../scheduling/decision/decision.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import type {
  CallOutcome,
  CallRecord,
  CallRequest,
  ProgramRecord,
} from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { ActiveCall } from "./active-call.ts";

/** A call that this node executes. Its intent is proposed; `committed` tells when it is committed. */
export interface CallJob<Request extends CallRequest = CallRequest> {
  readonly replica: ShardReplica;
  readonly program: ProgramRecord;
  readonly record: CallRecord;
  readonly request: Request;
  readonly policy: EffectivePolicy;
  readonly active: ActiveCall;
  /** When the caller stops waiting, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Resolves once the intent is committed; nothing may be sent before. Rejects if leadership is lost. */
  readonly committed: Promise<void>;
}

/** The result of executing a call, to be committed with its charge and decision. */
export interface CallConclusion {
  readonly attempt: number;
  readonly outcome: CallOutcome;
  readonly chargedTokens: number;
  readonly serviceMs: number;
  readonly decision: Decision;
}

/** Returns the outcome of a call that has no answer. */
export function failedWith(problem: Problem): CallOutcome {
  return { type: "failed", problem };
}
