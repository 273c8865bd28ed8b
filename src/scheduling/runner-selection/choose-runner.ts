/**
 * Chooses a runner for a call by estimated cost: expected wait, prefill of the tokens that are not cached, and distance.
 * The candidates are the runners that have cached the prefix and a few random ones: if every shard leader considered all
 * runners, all of them would choose the same idle runner.
 */
import type { Alternative } from "../decision/decision.ts";
import type { CachedPrefix, RunnerView } from "./runner-view.ts";

/** Inputs of the choice. */
export interface RunnerChoiceInput {
  readonly model: string;
  readonly promptTokens: number;
  readonly zone: string;
  readonly runners: readonly RunnerView[];
  readonly cached: readonly CachedPrefix[];
  /** Runners that have already refused this call. */
  readonly excluded: readonly string[];
  /** Random numbers in [0, 1), one for each random candidate. */
  readonly samples: readonly number[];
}

/** Constants of the cost estimate. */
export interface RunnerCosts {
  /** Prefill speed of a runner, in tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Added for a runner in another zone, in ms. */
  readonly crossZoneMs: number;
}

/** Costs assumed until an engine reports its own. */
export const DEFAULT_RUNNER_COSTS: RunnerCosts = { prefillTokensPerMs: 8, crossZoneMs: 2 };

/** Orders the candidates by cost; the first one is chosen. Empty if no runner may take the call. */
export function chooseRunner(
  input: RunnerChoiceInput,
  costs: RunnerCosts = DEFAULT_RUNNER_COSTS,
): readonly Alternative[] {
  const eligible = input.runners.filter((runner) => isEligible(runner, input));
  const candidates = pickCandidates(eligible, input);
  const alternatives = candidates.map((runner) => estimateCost(runner, input, costs));
  // The sort is stable: among equal costs the first sample wins, so that leaders do not all choose the same runner.
  alternatives.sort((left, right) => left.totalMs - right.totalMs);
  return alternatives.map((alternative, rank) => ({ ...alternative, chosen: rank === 0 }));
}

function isEligible(runner: RunnerView, input: RunnerChoiceInput): boolean {
  if (runner.leaving || runner.home === undefined) return false;
  return runner.models.includes(input.model) && !input.excluded.includes(runner.runner);
}

function pickCandidates(eligible: readonly RunnerView[], input: RunnerChoiceInput): RunnerView[] {
  const candidates = eligible.filter((runner) => cachedTokens(runner, input) > 0);
  const others = eligible.filter((runner) => !candidates.includes(runner));
  for (const sample of input.samples) {
    const [picked] = others.splice(Math.floor(sample * others.length), 1);
    if (picked) candidates.push(picked);
  }
  return candidates;
}

function estimateCost(runner: RunnerView, input: RunnerChoiceInput, costs: RunnerCosts): Alternative {
  const cached = Math.min(cachedTokens(runner, input), input.promptTokens);
  const prefillMs = (input.promptTokens - cached) / costs.prefillTokensPerMs;
  const transferMs = runner.zone === input.zone ? 0 : costs.crossZoneMs;
  return {
    runner: runner.runner,
    expectedWaitMs: runner.expectedWaitMs,
    prefillMs,
    transferMs,
    totalMs: runner.expectedWaitMs + prefillMs + transferMs,
    chosen: false,
    note: cached > 0 ? `holds ${cached} tokens of the prefix` : "sampled at random",
  };
}

function cachedTokens(runner: RunnerView, input: RunnerChoiceInput): number {
  return input.cached.find((prefix) => prefix.runner === runner.runner)?.tokens ?? 0;
}
