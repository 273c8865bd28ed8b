import type { ErrorKindName } from "../../errors/error-kinds.ts";
import { problemOf, problemOfError } from "../../errors/tulipwheel-error.ts";
import type { SubmitCall } from "../../messages/call-messages.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import { type AdmissionRefusal, checkCall } from "../../scheduling/admission/check-call.ts";
import { worstCaseTokens } from "../../scheduling/admission/worst-case-tokens.ts";
import type { DecisionInputs } from "../../scheduling/decision/decision.ts";
import { type EffectivePolicy, isRepeatable } from "../../scheduling/policy/effective-policy.ts";
import { callRecordOf } from "../../scheduling/program/call-record-of.ts";
import type { IntendCall } from "../../scheduling/program/commands.ts";
import type { CallRecord, CallRequest, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { CallCounters, CallServiceParts } from "./call-service-parts.ts";

/** A call that may be executed. Its intent has been proposed but may not be committed yet. */
export interface AdmittedCall {
  readonly record: CallRecord;
  readonly policy: EffectivePolicy;
  /** Resolves once the intent is committed; rejects with a redirect if it will not be. */
  readonly committed: Promise<void>;
}

/** By then, other shards have returned their idle budget allotments. */
const BUDGET_RETRY_AFTER_MS = 12_000;

/** Admits or refuses calls. A refusal is committed before the caller is told, so "not run" remains true permanently. */
export class CallAdmission {
  readonly #parts: CallServiceParts;
  readonly #counters: CallCounters;

  constructor(parts: CallServiceParts, counters: CallCounters) {
    this.#parts = parts;
    this.#counters = counters;
  }

  /** Admits a call and proposes its intent; returns undefined if the call was refused. */
  async admit(
    replica: ShardReplica,
    program: ProgramRecord,
    submit: SubmitCall,
  ): Promise<AdmittedCall | undefined> {
    const checked = await this.#check(replica, program, submit.request);
    if (checked.refusal) {
      await this.refuse(replica, program, submit, checked.refusal);
      return undefined;
    }
    const command = this.#intentOf(program, submit, checked.policy, checked.tokens);
    const committed = this.#commitIntent(replica, command, checked.policy);
    committed.catch(() => undefined);
    return { record: callRecordOf(command), policy: checked.policy, committed };
  }

  async #commitIntent(replica: ShardReplica, command: IntendCall, policy: EffectivePolicy): Promise<void> {
    const { budgets, shards } = this.#parts;
    const { tokens } = command.reservation;
    const result = await budgets.reserve(replica, policy, tokens, () => shards.propose(replica, command));
    if (!result.accepted) throw new RedirectSignal(replica.leader?.address);
  }

  /** Commits a refusal with its problem and decision. */
  async refuse(
    replica: ShardReplica,
    program: ProgramRecord,
    submit: SubmitCall,
    refusal: AdmissionRefusal,
  ): Promise<void> {
    const { context, decisions, shards } = this.#parts;
    const details = refusal.kind === "budget-exhausted" ? { retryAfterMs: BUDGET_RETRY_AFTER_MS } : {};
    const problem = problemOf(refusal.kind, refusal.detail, details);
    const decision = decisions.build({
      subject: submit.call,
      verdict: "refused",
      rule: refusal.rule,
      inputs: this.#inputsOf(program, submit.request, refusal),
    });
    const { call } = submit;
    const atMs = context.clock.wallMs();
    await shards.propose(replica, { type: "refuseCall", program: program.id, call, problem, decision, atMs });
    this.#counters.refused += 1;
  }

  /** Any error before the intent is proposed becomes a refusal, since nothing has been sent yet. */
  async #check(replica: ShardReplica, program: ProgramRecord, request: CallRequest): Promise<CheckResult> {
    try {
      return await this.#checkAll(replica, program, request);
    } catch (error) {
      if (error instanceof RedirectSignal) throw error;
      const { kind, detail } = problemOfError(error);
      return { refusal: { kind: kind as ErrorKindName, detail, rule: "the call could not be admitted" } };
    }
  }

  async #checkAll(replica: ShardReplica, program: ProgramRecord, request: CallRequest): Promise<CheckResult> {
    const { configuration, context, budgets } = this.#parts;
    const policy = configuration.policyOf(program.tenant, program.template);
    if (program.endedAtMs !== undefined) return { refusal: programEndedRefusal(program) };
    const refusal = checkCall(program, policy, request, context.clock.wallMs());
    if (refusal) return { refusal };
    if (request.type !== "completion") return { policy, tokens: 0 };
    const tokens = worstCaseTokens(program.historyTokens, request);
    const available = await budgets.ensureAvailable(replica, policy, tokens);
    return available < tokens ? { refusal: budgetRefusal(policy, tokens, available) } : { policy, tokens };
  }

  #inputsOf(program: ProgramRecord, request: CallRequest, refusal: AdmissionRefusal): DecisionInputs {
    const maxTokens = request.type === "completion" ? request.maxTokens : undefined;
    const inputs = this.#parts.decisions.inputsOf(program, this.#parts.configuration.findPolicy(program));
    return { ...inputs, ...refusal.inputs, maxTokens, limit: refusal.limit };
  }

  #intentOf(program: ProgramRecord, submit: SubmitCall, policy: EffectivePolicy, tokens: number): IntendCall {
    const { budgets, context } = this.#parts;
    return {
      type: "intendCall",
      program: program.id,
      call: submit.call,
      number: submit.number ?? program.nextNumber,
      request: submit.request,
      requestHash: hashOfRequest(context.hash.hash64, submit.request),
      repeatable: mayRepeat(policy, submit.request),
      reservation: { budget: budgets.budgetOf(policy), tokens },
      executor: context.self.address,
      atMs: context.clock.wallMs(),
    };
  }
}

type CheckResult =
  | { readonly refusal: AdmissionRefusal }
  | { readonly refusal?: undefined; readonly policy: EffectivePolicy; readonly tokens: number };

/** Hashes a request, to tell a repeated request from a different one with the same call number or idempotency key. */
export function hashOfRequest(hash: (text: string) => string, request: CallRequest): string {
  return hash(JSON.stringify(request));
}

function mayRepeat(policy: EffectivePolicy, request: CallRequest): boolean {
  if (request.type === "completion") return true;
  if (request.neverRepeat) return false;
  return isRepeatable(policy.services[request.service], request.method, request.path);
}

function programEndedRefusal(program: ProgramRecord): AdmissionRefusal {
  const detail = `Program ${program.id} has ended (${program.endReason}).`;
  return { kind: "program-ended", detail, rule: "the program has ended" };
}

function budgetRefusal(policy: EffectivePolicy, tokens: number, available: number): AdmissionRefusal {
  return {
    kind: "budget-exhausted",
    detail: `The call may cost up to ${tokens} tokens, and ${available} are left of ${policy.budget.tokens}.`,
    rule: "the budget must cover the worst case before a call may leave",
    inputs: { reservedTokens: tokens, budgetAvailableTokens: available },
  };
}
