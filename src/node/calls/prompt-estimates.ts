import { messageTokensBound } from "../../scheduling/admission/worst-case-tokens.ts";
import type { CallRecord, CompletionAnswer } from "../../scheduling/program/records.ts";
import type { CachedPrefix } from "../../scheduling/runner-selection/runner-view.ts";
import type { CompletionJob } from "./completion-progress.ts";

/** The most tokens that a completion's prompt can have. */
export function promptTokensBound({ program, request }: CompletionJob): number {
  return program.historyTokens + messageTokensBound(request.messages);
}

/**
 * The runner of the program's last completed turn is believed to hold the history up to there; for a child without
 * one, the runner of the parent's turn that it was forked after.
 */
export function cachedPrefixes({ program, replica }: CompletionJob): CachedPrefix[] {
  const own = lastCompletion(program.calls);
  if (own) return [prefixOf(own)];
  const parent = program.parent && replica.state.programs.get(program.parent.program);
  const afterCall = program.parent?.afterCall ?? 0;
  const inherited = lastCompletion(parent?.calls.filter((call) => call.number <= afterCall) ?? []);
  return inherited ? [prefixOf(inherited)] : [];
}

function lastCompletion(calls: readonly CallRecord[]): CompletionAnswer | undefined {
  for (const { outcome } of calls.toReversed()) {
    if (outcome?.type === "answered" && outcome.answer.type === "completion") return outcome.answer;
  }
  return undefined;
}

function prefixOf({ runner, usage }: CompletionAnswer): CachedPrefix {
  return { runner, tokens: usage.promptTokens + usage.completionTokens };
}
