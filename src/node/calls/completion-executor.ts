/** Executes completions: obtains a slot, streams the text, and continues on another runner when an engine fails. */
import type { EngineClient, GenerateResult } from "../../ports/engine/engine-client.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import { PRIORITY_CLASSES } from "../../scheduling/policy/effective-policy.ts";
import { slotKey } from "../../scheduling/queue/slot-request.ts";
import type { BudgetService } from "../budgets/budget-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import type { CallConclusion } from "./call-job.ts";
import { type CompletedResult, CompletionConclusions } from "./completion-conclusions.ts";
import { CompletionPlacement, type Placement } from "./completion-placement.ts";
import {
  type CompletionJob,
  type CompletionProgress,
  DEFAULT_RETRY_AFTER_MS,
} from "./completion-progress.ts";
import type { DecisionBuilder } from "./decision-builder.ts";
import type { SlotClient } from "./slot-client.ts";

/** Maximum number of attempts at one completion, including the first. */
const MAX_ATTEMPTS = 5;

/** Executes completion jobs, with further attempts on other runners if one fails. */
export class CompletionExecutor {
  readonly #context: NodeContext;
  readonly #committer: ShardCommitter;
  readonly #directory: RunnerDirectory;
  readonly #engine: EngineClient;
  readonly #budgets: BudgetService;
  readonly #placement: CompletionPlacement;
  readonly #conclusions: CompletionConclusions;

  constructor(
    context: NodeContext,
    committer: ShardCommitter,
    directory: RunnerDirectory,
    slotClient: SlotClient,
    engine: EngineClient,
    decisions: DecisionBuilder,
    budgets: BudgetService,
  ) {
    this.#context = context;
    this.#committer = committer;
    this.#directory = directory;
    this.#engine = engine;
    this.#budgets = budgets;
    this.#placement = new CompletionPlacement(context, directory, slotClient);
    this.#conclusions = new CompletionConclusions(context, decisions);
  }

  /** Executes a completion. Throws a redirect if this node stops leading the shard. */
  async run(job: CompletionJob): Promise<CallConclusion> {
    const progress: CompletionProgress = {
      attempt: job.record.attempt,
      waitedMs: 0,
      serviceMs: 0,
      alternatives: [],
      excluded: new Set(),
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    };
    for (;;) {
      if (job.active.cancellation.cancelled) return this.#conclusions.cancelled(job, progress);
      job.active.enter("slot");
      const placement = await this.#placement.place(job, progress);
      job.active.enter("intent");
      await this.#awaitIntent(job, progress, placement);
      if (!placement) return this.#conclusions.unplaced(job, progress);
      const conclusion = await this.#attempt(job, progress, placement);
      if (conclusion) return conclusion;
    }
  }

  /** Nothing may be sent before the intent is committed. If the commit fails, returns the slot. */
  async #awaitIntent(
    job: CompletionJob,
    progress: CompletionProgress,
    placement: Placement | undefined,
  ): Promise<void> {
    try {
      await job.committed;
    } catch (error) {
      if (placement) this.#placement.release(placement, job, progress.attempt);
      throw error;
    }
  }

  /** Makes one attempt on a runner; returns undefined if the completion is to be tried again. */
  async #attempt(
    job: CompletionJob,
    progress: CompletionProgress,
    placement: Placement,
  ): Promise<CallConclusion | undefined> {
    const startMs = this.#context.clock.monotonicMs();
    job.active.enter("engine");
    const result = await this.#generate(job, progress.attempt, placement);
    progress.serviceMs += this.#context.clock.monotonicMs() - startMs;
    this.#placement.release(placement, job, progress.attempt);
    switch (result.type) {
      case "completed":
        return this.#complete(job, progress, placement, result);
      case "cancelled":
        return this.#conclusions.cancelled(job, progress);
      case "refused":
        if (result.reason === "stale-token")
          this.#directory.forgetHome(placement.runner.runner, placement.home);
        progress.excluded.add(placement.runner.runner);
        return undefined;
      case "broken":
        progress.excluded.add(placement.runner.runner);
        return this.#nextAttempt(job, progress, result.detail);
    }
  }

  #generate(job: CompletionJob, attempt: number, placement: Placement): Promise<GenerateResult> {
    const { program, request, active, policy } = job;
    return this.#engine.generate(
      placement.runner.address,
      {
        requestId: slotKey(job.record.id, attempt),
        program: program.id,
        model: request.model,
        messages: [...program.history.map(({ role, content }) => ({ role, content })), ...request.messages],
        maxTokens: request.maxTokens,
        priority: PRIORITY_CLASSES.indexOf(policy.priorityClass),
        fencingToken: placement.fencingToken,
        resumeText: active.text,
      },
      (chunk) => active.append(chunk.offset, chunk.text),
      active.cancellation,
    );
  }

  /** Concludes a completion that the engine has finished. Retries it if part of the answer did not arrive here. */
  #complete(
    job: CompletionJob,
    progress: CompletionProgress,
    placement: Placement,
    result: CompletedResult,
  ): CallConclusion | Promise<CallConclusion | undefined> {
    const { length } = job.active.text;
    if (length === result.length) {
      return this.#conclusions.completed(job, progress, placement.runner.runner, result);
    }
    return this.#nextAttempt(job, progress, `The answer has ${length} of ${result.length} characters.`);
  }

  /**
   * Commits a further attempt before the completion is sent again. Ensures budget for it, since the failed attempt may
   * have used the whole reservation.
   */
  async #nextAttempt(
    job: CompletionJob,
    progress: CompletionProgress,
    detail: string,
  ): Promise<CallConclusion | undefined> {
    if (progress.attempt >= MAX_ATTEMPTS) return this.#conclusions.broken(job, progress, detail);
    const attempt = progress.attempt + 1;
    job.active.enter("next attempt");
    const { replica, policy, record } = job;
    const { tokens } = record.reservation;
    const executor = this.#context.self.address;
    const atMs = this.#context.clock.wallMs();
    const command = { type: "retryCall", call: record.id, attempt, executor, atMs } as const;
    await this.#budgets.ensureAvailable(replica, policy, tokens);
    const result = await this.#budgets.reserve(replica, policy, tokens, () =>
      this.#committer.commit(replica.shard, command),
    );
    if (!result.accepted && result.reason === "budget-short")
      return this.#conclusions.broken(job, progress, detail);
    if (!result.accepted) throw new RedirectSignal(job.replica.leader?.address);
    progress.attempt = attempt;
    return undefined;
  }
}
