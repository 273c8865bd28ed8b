import type { ErrorKindName } from "../../errors/error-kinds.ts";
import type { DecisionInputs } from "../decision/decision.ts";
import type { EffectivePolicy } from "../policy/effective-policy.ts";
import type { CallRequest, ProgramRecord } from "../program/records.ts";

/** Why a call or a program is refused. */
export interface AdmissionRefusal {
  readonly kind: ErrorKindName;
  readonly detail: string;
  /** The rule that refused it, as `explain` shows it. */
  readonly rule: string;
  /** Values for `explain`, in addition to those of the program. */
  readonly inputs?: Partial<DecisionInputs>;
  readonly limit?: { readonly name: string; readonly allowed: number; readonly reached: number };
}

/** Checks a call against its program's template. Undefined if it is admitted. */
export function checkCall(
  program: ProgramRecord,
  policy: EffectivePolicy,
  request: CallRequest,
  nowMs: number,
): AdmissionRefusal | undefined {
  return checkTarget(policy, request) ?? checkLimits(program, policy, request, nowMs);
}

/** Checks a new program against its template. Undefined if it may be opened. */
export function checkProgram(
  policy: EffectivePolicy,
  depth: number,
  openPrograms: number,
): AdmissionRefusal | undefined {
  if (depth > policy.limits.depth) return limitReached("depth", policy.limits.depth, depth);
  if (openPrograms >= policy.limits.openPrograms) {
    return limitReached("openPrograms", policy.limits.openPrograms, openPrograms);
  }
  return undefined;
}

function checkTarget(policy: EffectivePolicy, request: CallRequest): AdmissionRefusal | undefined {
  if (request.type === "completion" && !policy.models.includes(request.model)) {
    return {
      kind: "unknown-model",
      detail: `Template ${policy.template} of ${policy.tenant} does not list the model ${request.model}.`,
      rule: "the template lists the models that calls may name",
    };
  }
  if (request.type === "service" && !policy.services[request.service]) {
    return {
      kind: "unknown-service",
      detail: `Template ${policy.template} of ${policy.tenant} does not list the service ${request.service}.`,
      rule: "the template lists the services that calls may name",
    };
  }
  return undefined;
}

function checkLimits(
  program: ProgramRecord,
  policy: EffectivePolicy,
  request: CallRequest,
  nowMs: number,
): AdmissionRefusal | undefined {
  const { limits } = policy;
  if (program.nextNumber > limits.turns) return limitReached("turns", limits.turns, program.nextNumber);
  const wallTimeMs = nowMs - program.openedAtMs;
  if (wallTimeMs > limits.wallTimeMs) return limitReached("wallTimeMs", limits.wallTimeMs, wallTimeMs);
  if (request.type !== "completion") return undefined;
  if (program.historyTokens >= limits.historyTokens) {
    return limitReached("historyTokens", limits.historyTokens, program.historyTokens);
  }
  if (request.maxTokens > limits.completionTokens) {
    return limitReached("completionTokens", limits.completionTokens, request.maxTokens);
  }
  return undefined;
}

function limitReached(name: string, allowed: number, reached: number): AdmissionRefusal {
  return {
    kind: "limit-reached",
    detail: `The limit ${name} is ${allowed}, and ${reached} was reached.`,
    rule: `limit ${name} of the template`,
    limit: { name, allowed, reached },
  };
}
