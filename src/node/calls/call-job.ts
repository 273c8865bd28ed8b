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

/** A call whose intent is committed and that is being carried out here. */
export interface CallJob<Request extends CallRequest = CallRequest> {
  readonly replica: ShardReplica;
  readonly program: ProgramRecord;
  readonly record: CallRecord;
  readonly request: Request;
  readonly policy: EffectivePolicy;
  readonly active: ActiveCall;
  /** When the caller stops waiting, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Resolves once the intent is committed; nothing may leave before. Rejects when leadership is lost. */
  readonly committed: Promise<void>;
}

/** How a call was carried out; still to be committed. */
export interface CallConclusion {
  readonly attempt: number;
  readonly outcome: CallOutcome;
  readonly chargedTokens: number;
  readonly serviceMs: number;
  readonly decision: Decision;
}

/** An outcome without an answer. */
export function failedWith(problem: Problem): CallOutcome {
  return { type: "failed", problem };
}
