/** Chooses runners for completions and requests slots from the runners' homes. */
import { delay } from "../../runtime/clock.ts";
import type { Alternative } from "../../scheduling/decision/decision.ts";
import type { SlotRequest } from "../../scheduling/queue/slot-request.ts";
import { chooseRunner } from "../../scheduling/runner-selection/choose-runner.ts";
import type { RunnerView } from "../../scheduling/runner-selection/runner-view.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";
import {
  type CompletionJob,
  type CompletionProgress,
  DEFAULT_RETRY_AFTER_MS,
} from "./completion-progress.ts";
import { cachedPrefixes, promptTokensBound } from "./prompt-estimates.ts";
import type { SlotClient } from "./slot-client.ts";

/** Delay before the runners are checked again when none is available, in ms. */
const NO_RUNNER_DELAY_MS = 100;
/** Number of random candidates in addition to the runners that have the prefix cached. */
const RANDOM_CANDIDATES = 2;

/** A runner with a granted slot. */
export interface Placement {
  readonly runner: RunnerView;
  readonly home: string;
  readonly fencingToken: number;
}

/** Obtains a slot for a completion on the best available runner. */
export class CompletionPlacement {
  readonly #context: NodeContext;
  readonly #directory: RunnerDirectory;
  readonly #slotClient: SlotClient;

  constructor(context: NodeContext, directory: RunnerDirectory, slotClient: SlotClient) {
    this.#context = context;
    this.#directory = directory;
    this.#slotClient = slotClient;
  }

  /** Obtains a slot on some runner; returns undefined if the caller's time runs out or the call is cancelled first. */
  async place(job: CompletionJob, progress: CompletionProgress): Promise<Placement | undefined> {
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
    progress: CompletionProgress,
    runner: RunnerView,
    home: string,
  ): Promise<Placement | undefined> {
    const request = this.#slotRequest(job, progress.attempt);
    job.active.cancellation.onCancel(() => {
      this.#slotClient.release(runner.runner, home, request.call, request.attempt);
    });
    const startMs = this.#context.clock.monotonicMs();
    const reply = await this.#slotClient.request(runner.runner, home, request);
    progress.waitedMs += this.#context.clock.monotonicMs() - startMs;
    if (reply.type === "granted") return { runner, home, fencingToken: reply.fencingToken };
    if (reply.type === "refused") progress.retryAfterMs = reply.retryAfterMs || DEFAULT_RETRY_AFTER_MS;
    progress.excluded.add(runner.runner);
    return undefined;
  }

  /** Returns a granted slot or withdraws a pending request. */
  release({ runner, home }: Placement, job: CompletionJob, attempt: number): void {
    this.#slotClient.release(runner.runner, home, job.record.id, attempt);
  }

  #alternatives(
    job: CompletionJob,
    progress: CompletionProgress,
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
}
