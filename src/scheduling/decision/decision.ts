/** What was decided about a call or a program. */
export type Verdict = "placed" | "waited" | "refused";

/** One runner that was considered, with its estimated cost in milliseconds. */
export interface Alternative {
  readonly runner: string;
  readonly expectedWaitMs: number;
  readonly prefillMs: number;
  readonly transferMs: number;
  readonly totalMs: number;
  readonly chosen: boolean;
  /** Why it was considered, or why it fell out. */
  readonly note: string;
}

/** The facts that a decision was made from. Units are in the names. */
export interface DecisionInputs {
  readonly tenant: string;
  readonly template: string;
  readonly priorityClass: string;
  readonly promptTokens?: number;
  readonly maxTokens?: number;
  readonly slackMs?: number;
  readonly attainedServiceMs?: number;
  readonly budgetAvailableTokens?: number;
  readonly reservedTokens?: number;
  readonly limit?: { readonly name: string; readonly allowed: number; readonly reached: number };
}

/** Why a call went where it went, waited or was refused; kept with the program, so it outlives the node. */
export interface Decision {
  readonly subject: string;
  readonly verdict: Verdict;
  readonly atMs: number;
  readonly node: string;
  readonly configurationVersion: number;
  /** The rule that decided, in a few words. */
  readonly rule: string;
  readonly inputs: DecisionInputs;
  readonly alternatives: readonly Alternative[];
  readonly waitedMs: number;
  readonly attempts: number;
}
