/** The outcome of a decision about a call or a program. */
export type Verdict = "placed" | "waited" | "refused";

/** One runner that was considered, with its estimated costs in ms. */
export interface Alternative {
  readonly runner: string;
  readonly expectedWaitMs: number;
  readonly prefillMs: number;
  readonly transferMs: number;
  readonly totalMs: number;
  readonly chosen: boolean;
  /** Why the runner was considered, or why it was ruled out. */
  readonly note: string;
}

/** The values on which a decision was based. Units are in the names. */
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

/**
 * Explains why a call was placed on a runner, waited or was refused. Stored with the program, so that it survives the
 * loss of the node.
 */
export interface Decision {
  readonly subject: string;
  readonly verdict: Verdict;
  readonly atMs: number;
  readonly node: string;
  readonly configurationVersion: number;
  /** Short description of the rule that led to the verdict. */
  readonly rule: string;
  readonly inputs: DecisionInputs;
  readonly alternatives: readonly Alternative[];
  readonly waitedMs: number;
  readonly attempts: number;
}
