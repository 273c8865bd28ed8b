import { problemOf } from "../../errors/tulipwheel-error.ts";
import type { EngineClient, GenerateResult } from "../../ports/engine/engine-client.ts";
import { delay } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import { messageTokensBound, utf8Length } from "../../scheduling/admission/worst-case-tokens.ts";
import type { Alternative, Decision } from "../../scheduling/decision/decision.ts";
import { PRIORITY_CLASSES } from "../../scheduling/policy/effective-policy.ts";
import type {
  CallOutcome,
  CallRecord,
  CompletionAnswer,
  CompletionRequest,
} from "../../scheduling/program/records.ts";
import { type SlotRequest, slotKey } from "../../scheduling/queue/slot-request.ts";
import { chooseRunner } from "../../scheduling/runner-selection/choose-runner.ts";
import type { CachedPrefix, RunnerView } from "../../scheduling/runner-selection/runner-view.ts";
import type { BudgetService } from "../budgets/budget-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import { type CallConclusion, type CallJob, failedWith } from "./call-job.ts";
import type { DecisionBuilder } from "./decision-builder.ts";
import type { SlotBroker } from "./slot-broker.ts";

/** Attempts at one completion, the first included. */
const MAX_ATTEMPTS = 5;
/** Wait before the runners are looked at again when none can be had, in ms. */
const NO_RUNNER_DELAY_MS = 100;
/** Random candidates beside those that hold the prefix. */
const RANDOM_CANDIDATES = 2;
/** Time to come back when nothing better is known, in ms. */
const DEFAULT_RETRY_AFTER_MS = 2_000;

/** A runner with a granted slot. */
interface Placement {
  readonly runner: RunnerView;
  readonly home: string;
  readonly fencingToken: number;
}

/** What is remembered while a completion is carried out. */
interface Progress {
  attempt: number;
  waitedMs: number;
  serviceMs: number;
  alternatives: readonly Alternative[];
  readonly excluded: Set<string>;
  retryAfterMs: number;
}

type CompletionJob = CallJob<CompletionRequest>;

/** Carries out completions: chooses a runner, gets a slot, streams, and goes on elsewhere when an engine breaks. */
export class CompletionRunner {
  readonly #context: NodeContext;
  readonly #committer: ShardCommitter;
  readonly #directory: RunnerDirectory;
  readonly #broker: SlotBroker;
  readonly #engine: EngineClient;
  readonly #decisions: DecisionBuilder;
  readonly #budgets: BudgetService;

  constructor(
    context: NodeContext,
    committer: ShardCommitter,
    directory: RunnerDirectory,
    broker: SlotBroker,
    engine: EngineClient,
    decisions: DecisionBuilder,
    budgets: BudgetService,
  ) {
    this.#context = context;
    this.#committer = committer;
    this.#directory = directory;
    this.#broker = broker;
    this.#engine = engine;
    this.#decisions = decisions;
    this.#budgets = budgets;
  }

  /** Carries out a completion. Throws a redirect when this node stops leading the shard. */
  async run(job: CompletionJob): Promise<CallConclusion> {
    const progress: Progress = {
      attempt: job.record.attempt,
      waitedMs: 0,
      serviceMs: 0,
      alternatives: [],
      excluded: new Set(),
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    };
    for (;;) {
      if (job.active.cancellation.cancelled) return this.#concludeCancelled(job, progress);
      const placement = await this.#place(job, progress);
      await this.#awaitIntent(job, progress, placement);
      if (!placement) return this.#concludeUnplaced(job, progress);
      const conclusion = await this.#attempt(job, progress, placement);
      if (conclusion) return conclusion;
    }
  }

  /** Nothing may leave before the intent is committed; if it never will be, the slot goes back. */
  async #awaitIntent(
    job: CompletionJob,
    progress: Progress,
    placement: Placement | undefined,
  ): Promise<void> {
    try {
      await job.committed;
    } catch (error) {
      if (placement)
        this.#broker.release(placement.runner.runner, placement.home, job.record.id, progress.attempt);
      throw error;
    }
  }

  /** Gets a slot somewhere; undefined when the caller's patience ends first. */
  async #place(job: CompletionJob, progress: Progress): Promise<Placement | undefined> {
    while (!job.active.cancellation.cancelled && this.#remainingMs(job) > 0) {
      const views = this.#directory.views();
      const alternatives = this.#alternatives(job, progress, views);
      if (alternatives.length === 0) {
        progress.excluded.clear();
        await delay(this.#context.clock, NO_RUNNER_DELAY_MS);
        continue;
      }
      progress.alternatives = alternatives;
      const runner = views.find((view) => view.runner === alternatives[0].runner);
      if (!runner?.home) continue;
      const placement = await this.#requestSlot(job, progress, runner, runner.home);
      if (placement) return placement;
    }
    return undefined;
  }

  async #requestSlot(
    job: CompletionJob,
    progress: Progress,
    runner: RunnerView,
    home: string,
  ): Promise<Placement | undefined> {
    const request = this.#slotRequest(job, progress.attempt);
    job.active.cancellation.onCancel(() => {
      this.#broker.release(runner.runner, home, request.call, request.attempt);
    });
    const startMs = this.#context.clock.monotonicMs();
    const reply = await this.#broker.request(runner.runner, home, request);
    progress.waitedMs += this.#context.clock.monotonicMs() - startMs;
    if (reply.type === "granted") return { runner, home, fencingToken: reply.fencingToken };
    if (reply.type === "refused") progress.retryAfterMs = reply.retryAfterMs || DEFAULT_RETRY_AFTER_MS;
    progress.excluded.add(runner.runner);
    return undefined;
  }

  /** One attempt on a runner; undefined when it is to be tried again. */
  async #attempt(
    job: CompletionJob,
    progress: Progress,
    placement: Placement,
  ): Promise<CallConclusion | undefined> {
    const startMs = this.#context.clock.monotonicMs();
    const result = await this.#generate(job, progress.attempt, placement);
    progress.serviceMs += this.#context.clock.monotonicMs() - startMs;
    this.#broker.release(placement.runner.runner, placement.home, job.record.id, progress.attempt);
    switch (result.type) {
      case "completed":
        return this.#concludeCompleted(job, progress, placement, result);
      case "cancelled":
        return this.#concludeCancelled(job, progress);
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

  /** Commits that the completion may be sent again. The broken attempt may have cost all that was reserved. */
  async #nextAttempt(
    job: CompletionJob,
    progress: Progress,
    detail: string,
  ): Promise<CallConclusion | undefined> {
    if (progress.attempt >= MAX_ATTEMPTS) return this.#concludeBroken(job, progress, detail);
    const attempt = progress.attempt + 1;
    await this.#budgets.ensure(job.replica, job.policy, job.record.reservation.tokens);
    const result = await this.#committer.commit(job.replica.shard, {
      type: "retryCall",
      call: job.record.id,
      attempt,
      executor: this.#context.self.address,
      atMs: this.#context.clock.wallMs(),
    });
    if (!result.accepted && result.reason === "budget-short")
      return this.#concludeBroken(job, progress, detail);
    if (!result.accepted) throw new RedirectSignal(job.replica.leader?.address);
    progress.attempt = attempt;
    return undefined;
  }

  #alternatives(
    job: CompletionJob,
    progress: Progress,
    views: readonly RunnerView[],
  ): readonly Alternative[] {
    const { random, settings } = this.#context;
    return chooseRunner({
      model: job.request.model,
      promptTokens: promptTokensBound(job),
      zone: settings.zone,
      runners: views,
      cached: cachedPrefixes(job),
      excluded: [...progress.excluded],
      samples: Array.from({ length: RANDOM_CANDIDATES }, () => random.unit()),
    });
  }

  #slotRequest(job: CompletionJob, attempt: number): SlotRequest {
    const { program, policy, record, request } = job;
    const slackMs = program.deadlineAtMs && program.deadlineAtMs - this.#context.clock.wallMs();
    return {
      call: record.id,
      attempt,
      program: program.id,
      tenant: program.tenant,
      priorityClass: policy.priorityClass,
      weight: policy.weight,
      slackMs,
      attainedServiceMs: program.attainedServiceMs,
      promptTokens: promptTokensBound(job),
      maxTokens: request.maxTokens,
      patienceMs: Math.max(1, this.#remainingMs(job)),
    };
  }

  #remainingMs(job: CompletionJob): number {
    return job.deadlineMs - this.#context.clock.monotonicMs();
  }

  #concludeCompleted(
    job: CompletionJob,
    progress: Progress,
    placement: Placement,
    result: Extract<GenerateResult, { type: "completed" }>,
  ): CallConclusion | Promise<CallConclusion | undefined> {
    const { text } = job.active;
    if (text.length !== result.length) {
      return this.#nextAttempt(
        job,
        progress,
        `The answer has ${text.length} of ${result.length} characters.`,
      );
    }
    const { usage, finishReason } = result;
    const runner = placement.runner.runner;
    const outcome: CallOutcome = {
      type: "answered",
      answer: { type: "completion", text, finishReason, usage, runner },
    };
    return this.#conclude(job, progress, outcome, usage.promptTokens + usage.completionTokens);
  }

  #concludeUnplaced(job: CompletionJob, progress: Progress): CallConclusion {
    const { retryAfterMs } = progress;
    const never = progress.attempt === 1 && job.active.text === "";
    const kind = progress.alternatives.length > 0 ? "overloaded" : "no-runner";
    const detail = `No runner for ${job.request.model} had room within the caller's time.`;
    const outcome = never ? "not-run" : "failed";
    return this.#conclude(job, progress, failedWith(problemOf(kind, detail, { retryAfterMs, outcome })), 0);
  }

  #concludeBroken(job: CompletionJob, progress: Progress, detail: string): CallConclusion {
    const problem = problemOf("back-end-failed", detail, { retryAfterMs: DEFAULT_RETRY_AFTER_MS });
    return this.#conclude(job, progress, failedWith(problem), job.record.reservation.tokens);
  }

  #concludeCancelled(job: CompletionJob, progress: Progress): CallConclusion {
    const problem = problemOf("back-end-failed", "The caller hung up, and the call was cancelled.");
    const spent = promptTokensBound(job) + utf8Length(job.active.text);
    return this.#conclude(job, progress, failedWith(problem), spent);
  }

  #conclude(
    job: CompletionJob,
    progress: Progress,
    outcome: CallOutcome,
    chargedTokens: number,
  ): CallConclusion {
    const { attempt, serviceMs } = progress;
    return { attempt, outcome, chargedTokens, serviceMs, decision: this.#decide(job, progress, outcome) };
  }

  #decide(job: CompletionJob, progress: Progress, outcome: CallOutcome): Decision {
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

function promptTokensBound({ program, request }: CompletionJob): number {
  return program.historyTokens + messageTokensBound(request.messages);
}

/**
 * The runner of the program's last completed turn is believed to hold the history up to there; for a child without
 * one, the runner of the parent's turn that it was forked after.
 */
function cachedPrefixes({ program, replica }: CompletionJob): CachedPrefix[] {
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
