import type { Problem } from "../../errors/problem.ts";
import { problemOf } from "../../errors/tulipwheel-error.ts";
import type { ServiceClient, ServiceResult } from "../../ports/service/service-client.ts";
import { delay } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import type { ServiceRequest } from "../../scheduling/program/records.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import { type CallConclusion, type CallJob, failedWith } from "./call-job.ts";
import type { DecisionBuilder } from "./decision-builder.ts";

/** Maximum number of attempts at a repeatable call, including the first. */
const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 100;
const RETRY_AFTER_MS = 2_000;

type ServiceJob = CallJob<ServiceRequest>;

/**
 * Executes calls to services. A call that may not be repeated is sent once, by the leader that committed its intent,
 * and never by a later leader.
 */
export class ServiceCallExecutor {
  readonly #context: NodeContext;
  readonly #committer: ShardCommitter;
  readonly #directory: RunnerDirectory;
  readonly #client: ServiceClient;
  readonly #decisions: DecisionBuilder;

  constructor(
    context: NodeContext,
    committer: ShardCommitter,
    directory: RunnerDirectory,
    client: ServiceClient,
    decisions: DecisionBuilder,
  ) {
    this.#context = context;
    this.#committer = committer;
    this.#directory = directory;
    this.#client = client;
    this.#decisions = decisions;
  }

  /** Executes a call that this leader admitted, or a repeatable call of an earlier leader. */
  async run(job: ServiceJob): Promise<CallConclusion> {
    const startMs = this.#context.clock.monotonicMs();
    job.active.enter("intent");
    await job.committed;
    this.#requireMajorityAfterPause(job, startMs);
    let attempt = job.record.attempt;
    for (;;) {
      const result = await this.#send(job);
      const serviceMs = this.#context.clock.monotonicMs() - startMs;
      if (result.type === "answered") {
        return this.#conclude(job, attempt, serviceMs, { type: "answered", answer: result.answer });
      }
      const mayRepeat = job.record.repeatable && attempt < MAX_ATTEMPTS && !job.active.cancellation.cancelled;
      if (!mayRepeat || this.#context.clock.monotonicMs() > job.deadlineMs) {
        return this.#conclude(job, attempt, serviceMs, failedWith(problemOfResult(job, result, attempt)));
      }
      attempt = await this.#nextAttempt(job, attempt);
      await delay(this.#context.clock, RETRY_DELAY_MS);
    }
  }

  /**
   * Throws a redirect after a pause in which another leader may have been elected, unless this node still has a
   * majority. Nothing may be sent then: the other leader may already have reported the outcome.
   */
  #requireMajorityAfterPause(job: ServiceJob, startMs: number): void {
    const nowMs = this.#context.clock.monotonicMs();
    const { electionTimeoutMs } = this.#context.settings.timing.shardGroup;
    if (nowMs - startMs < electionTimeoutMs || job.replica.group.hasMajority(nowMs)) return;
    throw new RedirectSignal(job.replica.leader?.address);
  }

  /** Concludes a non-repeatable call of an earlier leader: this node cannot know whether it ran. */
  concludeUnknown(job: ServiceJob): CallConclusion {
    const detail = `The leader that sent ${describe(job.request)} is gone, and no answer is recorded.`;
    return this.#conclude(job, job.record.attempt, 0, failedWith(problemOf("outcome-unknown", detail)));
  }

  async #send(job: ServiceJob): Promise<ServiceResult> {
    const { request, policy } = job;
    const machines = this.#directory.serviceMachines(request.service);
    if (machines.length === 0) return { type: "not-sent", detail: `No machine serves ${request.service}.` };
    const machine = machines[this.#context.random.below(machines.length)];
    const { timeoutMs } = policy.services[request.service];
    job.active.enter("service");
    return this.#client.send(machine.address, request, job.record.id, timeoutMs);
  }

  async #nextAttempt(job: ServiceJob, attempt: number): Promise<number> {
    job.active.enter("next attempt");
    const result = await this.#committer.commit(job.replica.shard, {
      type: "retryCall",
      call: job.record.id,
      attempt: attempt + 1,
      executor: this.#context.self.address,
      atMs: this.#context.clock.wallMs(),
    });
    if (!result.accepted) throw new RedirectSignal(job.replica.leader?.address);
    return attempt + 1;
  }

  #conclude(
    job: ServiceJob,
    attempt: number,
    serviceMs: number,
    outcome: CallConclusion["outcome"],
  ): CallConclusion {
    const decision = this.#decisions.build({
      subject: job.record.id,
      verdict: "placed",
      rule: job.record.repeatable
        ? "any live machine of the service; may be repeated"
        : "any live machine of the service; sent once",
      inputs: this.#decisions.inputsOf(job.program, job.policy),
      attempts: attempt,
    });
    return { attempt, outcome, chargedTokens: 0, serviceMs, decision };
  }
}

function describe({ method, service, path }: ServiceRequest): string {
  return `${method} ${service}${path}`;
}

function problemOfResult(
  job: ServiceJob,
  result: Exclude<ServiceResult, { type: "answered" }>,
  attempt: number,
): Problem {
  const detail = `${describe(job.request)}: ${result.detail}`;
  if (result.type === "not-sent") {
    // An earlier attempt may have reached the service.
    const outcome = attempt > 1 ? "failed" : "not-run";
    return problemOf("back-end-failed", detail, { outcome, retryAfterMs: RETRY_AFTER_MS });
  }
  if (job.record.repeatable) return problemOf("back-end-failed", detail, { retryAfterMs: RETRY_AFTER_MS });
  return problemOf("outcome-unknown", detail);
}
