import type { BudgetWindow } from "../budget/budget-key.ts";

/** Priority classes, most urgent first. */
export const PRIORITY_CLASSES = ["interactive", "deadline", "standard", "batch"] as const;

/** The priority class of a template. */
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** The limits that a template sets for each program and tenant. */
export interface PolicyLimits {
  /** Maximum number of calls per program. */
  readonly turns: number;
  /** Maximum number of tokens in a program's history. */
  readonly historyTokens: number;
  /** Maximum number of tokens that one completion may generate. */
  readonly completionTokens: number;
  /** Maximum time from the opening of a program to its last call, in ms. */
  readonly wallTimeMs: number;
  /** Maximum number of generations of child programs. */
  readonly depth: number;
  /** Maximum number of open programs per shard, for one tenant and this template. */
  readonly openPrograms: number;
}

/** A template's rules for one service. */
export interface ServicePolicy {
  /** `METHOD path` patterns of the calls that may be repeated; a trailing `*` matches any suffix. */
  readonly repeatable: readonly string[];
  /** Timeout of a call, in ms. */
  readonly timeoutMs: number;
}

/** A template with the parameters of one tenant filled in. */
export interface EffectivePolicy {
  readonly tenant: string;
  readonly template: string;
  readonly models: readonly string[];
  readonly priorityClass: PriorityClass;
  /** Share of the capacity, relative to other tenants. */
  readonly weight: number;
  readonly budget: { readonly tokens: number; readonly window: BudgetWindow };
  readonly limits: PolicyLimits;
  readonly services: Readonly<Record<string, ServicePolicy>>;
  /** How long a program's cache is kept while the program is idle, in ms. */
  readonly cacheKeepMs: number;
  /** Default deadline of a program, in ms after its opening; used when the caller sets none. */
  readonly deadlineMs: number | undefined;
}

/** Whether the template allows a call to be sent to the service more than once. */
export function isRepeatable(policy: ServicePolicy, method: string, path: string): boolean {
  const call = `${method} ${path}`;
  return policy.repeatable.some((pattern) =>
    pattern.endsWith("*") ? call.startsWith(pattern.slice(0, -1)) : call === pattern,
  );
}
