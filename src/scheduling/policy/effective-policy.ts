import type { BudgetWindow } from "../budget/budget-key.ts";

/** Classes of priority, most urgent first. */
export const PRIORITY_CLASSES = ["interactive", "deadline", "standard", "batch"] as const;

/** The class of a template. */
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** What a template allows a program and a tenant. */
export interface PolicyLimits {
  /** Calls of one program. */
  readonly turns: number;
  /** Tokens of one program's history. */
  readonly historyTokens: number;
  /** Tokens that one completion may generate. */
  readonly completionTokens: number;
  /** Time from opening to the last call, in ms. */
  readonly wallTimeMs: number;
  /** Generations of child programs. */
  readonly depth: number;
  /** Programs of the tenant under this template that may be open on one shard. */
  readonly openPrograms: number;
}

/** How a template treats one service. */
export interface ServicePolicy {
  /** `METHOD path` patterns that may be repeated; `*` at the end matches any rest. */
  readonly repeatable: readonly string[];
  /** How long a call may take, in ms. */
  readonly timeoutMs: number;
}

/** A template with one tenant's parameters filled in. */
export interface EffectivePolicy {
  readonly tenant: string;
  readonly template: string;
  readonly models: readonly string[];
  readonly priorityClass: PriorityClass;
  /** Share of capacity against other tenants. */
  readonly weight: number;
  readonly budget: { readonly tokens: number; readonly window: BudgetWindow };
  readonly limits: PolicyLimits;
  readonly services: Readonly<Record<string, ServicePolicy>>;
  /** How long a program's cache is kept during a pause, in ms. */
  readonly cacheKeepMs: number;
  /** Deadline of a program from its opening, when the caller names none, in ms. */
  readonly deadlineMs: number | undefined;
}

/** Whether the template allows a call to be sent to the service more than once. */
export function isRepeatable(policy: ServicePolicy, method: string, path: string): boolean {
  const call = `${method} ${path}`;
  return policy.repeatable.some((pattern) =>
    pattern.endsWith("*") ? call.startsWith(pattern.slice(0, -1)) : call === pattern,
  );
}
