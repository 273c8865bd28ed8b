import { messageTokensBound } from "../../scheduling/admission/worst-case-tokens.ts";
import type { CallRecord, CompletionAnswer } from "../../scheduling/program/records.ts";
import type { CachedPrefix } from "../../scheduling/runner-selection/runner-view.ts";
import type { CompletionJob } from "./completion-progress.ts";

/** Returns an upper bound of the tokens in a completion's prompt. */
export function promptTokensBound({ program, request }: CompletionJob): number {
  return program.historyTokens + messageTokensBound(request.messages);
}

/**
 * Returns the prefix that a runner is expected to have cached. The runner of the program's last completed turn should
 * hold the history up to that turn. For a child program without a completed turn, it is the runner of the parent's
 * last completed turn at or before the fork point.
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
