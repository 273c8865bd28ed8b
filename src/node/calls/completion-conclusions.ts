/** Conclusions of completions: the outcome for the caller, the tokens charged, and the recorded decision. */
import { problemOf } from "../../errors/tulipwheel-error.ts";
import type { GenerateResult } from "../../ports/engine/engine-client.ts";
import { utf8LengthBound } from "../../scheduling/admission/worst-case-tokens.ts";
import type { Decision } from "../../scheduling/decision/decision.ts";
import type { CallOutcome } from "../../scheduling/program/records.ts";
import type { NodeContext } from "../node-context.ts";
import { type CallConclusion, failedWith } from "./call-job.ts";
import {
  type CompletionJob,
  type CompletionProgress,
  DEFAULT_RETRY_AFTER_MS,
} from "./completion-progress.ts";
import type { DecisionBuilder } from "./decision-builder.ts";
import { promptTokensBound } from "./prompt-estimates.ts";

/** An engine's result for a completion that it has finished. */
export type CompletedResult = Extract<GenerateResult, { type: "completed" }>;

/** Builds the conclusion of a completion for each way in which it can end. */
export class CompletionConclusions {
  readonly #context: NodeContext;
  readonly #decisions: DecisionBuilder;

  constructor(context: NodeContext, decisions: DecisionBuilder) {
    this.#context = context;
    this.#decisions = decisions;
  }

  /** Concludes a completion whose whole answer arrived from `runner`. */
  completed(
    job: CompletionJob,
    progress: CompletionProgress,
    runner: string,
    { usage, finishReason }: CompletedResult,
  ): CallConclusion {
    const { text } = job.active;
    const outcome: CallOutcome = {
      type: "answered",
      answer: { type: "completion", text, finishReason, usage, runner },
    };
    return this.#conclude(job, progress, outcome, usage.promptTokens + usage.completionTokens);
  }

  /** Concludes a completion for which no runner had a free slot within the caller's time. */
  unplaced(job: CompletionJob, progress: CompletionProgress): CallConclusion {
    const { retryAfterMs } = progress;
    const neverSent = progress.attempt === 1 && job.active.text === "";
    const kind = progress.alternatives.length > 0 ? "overloaded" : "no-runner";
    const detail = `No runner for ${job.request.model} had room within the caller's time.`;
    const outcome = neverSent ? "not-run" : "failed";
    return this.#conclude(job, progress, failedWith(problemOf(kind, detail, { retryAfterMs, outcome })), 0);
  }

  /** Concludes a completion that failed at the engines. Charges the whole reservation, since it may have been used. */
  broken(job: CompletionJob, progress: CompletionProgress, detail: string): CallConclusion {
    const problem = problemOf("back-end-failed", detail, { retryAfterMs: DEFAULT_RETRY_AFTER_MS });
    return this.#conclude(job, progress, failedWith(problem), job.record.reservation.tokens);
  }

  /** Concludes a completion whose caller disconnected. Charges an upper bound of the prompt and of the text so far. */
  cancelled(job: CompletionJob, progress: CompletionProgress): CallConclusion {
    const problem = problemOf("back-end-failed", "The caller hung up, and the call was cancelled.");
    const spent = promptTokensBound(job) + utf8LengthBound(job.active.text);
    return this.#conclude(job, progress, failedWith(problem), spent);
  }

  #conclude(
    job: CompletionJob,
    progress: CompletionProgress,
    outcome: CallOutcome,
    chargedTokens: number,
  ): CallConclusion {
    const { attempt, serviceMs } = progress;
    return { attempt, outcome, chargedTokens, serviceMs, decision: this.#decide(job, progress, outcome) };
  }

  #decide(job: CompletionJob, progress: CompletionProgress, outcome: CallOutcome): Decision {
    const refused = outcome.type === "failed" && outcome.problem.outcome === "not-run";
    const waited = progress.waitedMs > this.#context.settings.timing.noticeableWaitMs;
    const placed = waited ? "waited" : "placed";
    return this.#decisions.build({
      subject: job.record.id,
      verdict: refused ? "refused" : placed,
      rule: ruleOf(refused, waited),
      inputs: {
        ...this.#decisions.inputsOf(job.program, job.policy),
        promptTokens: promptTokensBound(job),
        maxTokens: job.request.maxTokens,
        reservedTokens: job.record.reservation.tokens,
      },
      alternatives: progress.alternatives,
      waitedMs: Math.round(progress.waitedMs),
      attempts: progress.attempt,
    });
  }
}

function ruleOf(refused: boolean, waited: boolean): string {
  if (refused) return "no runner had room within the caller's time";
  const placed = "least of expected wait, prefill of what is not cached, and distance";
  return waited ? `${placed}; then waited by class, slack and attained service` : placed;
}
