import type { Problem } from "../../errors/problem.ts";
import { problemOf, problemOfError } from "../../errors/tulipwheel-error.ts";
import type { CallEvent } from "../../messages/call-messages.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import type {
  CallRecord,
  CompletionRequest,
  ProgramRecord,
  ServiceRequest,
} from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import { ActiveCall } from "./active-call.ts";
import { eventOfOutcome, finalEventOf } from "./call-events.ts";
import { type CallConclusion, type CallJob, failedWith } from "./call-job.ts";
import type { CallCounters, CallServiceParts } from "./call-service-parts.ts";
import type { QueuedCall } from "./program-queue.ts";

/** A call to execute. */
export interface ExecutionRequest {
  readonly replica: ShardReplica;
  readonly program: ProgramRecord;
  readonly record: CallRecord;
  readonly policy: EffectivePolicy;
  /** The submission of the call; undefined if no node is known to wait for it. */
  readonly entry: QueuedCall | undefined;
  /** Resolves once the intent is committed. */
  readonly committed: Promise<void>;
  /** Whether an earlier leader started the call. */
  readonly takenOver: boolean;
}

const TAKEOVER_BUDGET_DETAIL = "The call was cut off, and the budget does not cover a second attempt.";
const FAILED_OUTCOME = { outcome: "failed" } as const;

/** Executes calls on this node, from the intent to the committed outcome, and notifies the nodes that wait. */
export class CallExecutor {
  readonly #parts: CallServiceParts;
  readonly #counters: CallCounters;
  readonly #active = new Map<string, ActiveCall>();

  constructor(parts: CallServiceParts, counters: CallCounters) {
    this.#parts = parts;
    this.#counters = counters;
    parts.rpc.handle("queryCall", async ({ call }) => ({ running: this.#active.has(call) }));
  }

  /** Number of calls in progress on this node. */
  get size(): number {
    return this.#active.size;
  }

  /** Returns a call that is in progress on this node. */
  get(call: string): ActiveCall | undefined {
    return this.#active.get(call);
  }

  /** Returns every call that is in progress on this node. */
  all(): IterableIterator<ActiveCall> {
    return this.#active.values();
  }

  /** Executes a call. Throws a redirect if another leader has taken it over. */
  async run(execution: ExecutionRequest): Promise<void> {
    const { record, entry } = execution;
    const receivedText = entry?.submit.receivedText ?? "";
    const { clock } = this.#parts.context;
    const active = new ActiveCall(
      record.id,
      receivedText,
      () => clock.monotonicMs(),
      (to, event) => this.#send(to, event),
    );
    this.#active.set(record.id, active);
    if (entry) active.subscribe(entry.from, receivedText);
    try {
      const job = this.#jobOf(execution, active);
      const conclusion = await this.#executeOrFail(job, execution.takenOver);
      await this.#finish(job, conclusion);
    } finally {
      this.#active.delete(record.id);
    }
  }

  /** Commits the failure of a call that cannot be executed; otherwise the program's next calls would wait forever. */
  async failCall(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    problem: Problem,
  ): Promise<void> {
    const conclusion = this.#concludeFailed(program, record, undefined, problem);
    const atMs = this.#parts.context.clock.wallMs();
    await this.#parts.committer.commit(replica.shard, {
      type: "finishCall",
      call: record.id,
      atMs,
      ...conclusion,
    });
  }

  #jobOf(
    { replica, program, record, policy, entry, committed }: ExecutionRequest,
    active: ActiveCall,
  ): CallJob {
    const { clock, settings } = this.#parts.context;
    const patienceMs = entry?.submit.patienceMs ?? settings.timing.orphanPatienceMs;
    const deadlineMs = clock.monotonicMs() + patienceMs;
    if (!record.request) throw new RedirectSignal(replica.leader?.address);
    return { replica, program, record, policy, active, deadlineMs, committed, request: record.request };
  }

  /** An internal error must not leave the call open: the program's next calls would wait forever. */
  async #executeOrFail(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    try {
      return await this.#execute(job, takenOver);
    } catch (error) {
      if (error instanceof RedirectSignal) throw error;
      const { log } = this.#parts.context;
      log.error({ call: job.record.id, err: error }, "call failed because of an internal scheduler error");
      return this.#concludeFailed(job.program, job.record, job.policy, problemOfError(error));
    }
  }

  async #execute(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    if (job.request.type === "completion") {
      const attempted = takenOver ? await this.#commitNewAttempt(job) : job;
      if (attempted) return this.#parts.completions.run(attempted as CallJob<CompletionRequest>);
      const problem = problemOf("budget-exhausted", TAKEOVER_BUDGET_DETAIL, FAILED_OUTCOME);
      return this.#concludeFailed(job.program, job.record, job.policy, problem);
    }
    const serviceJob = job as CallJob<ServiceRequest>;
    if (takenOver && !job.record.repeatable) return this.#parts.services.concludeUnknown(serviceJob);
    return this.#parts.services.run(serviceJob);
  }

  /** The earlier leader may have sent the recorded attempt, so a new attempt is committed before anything is sent. */
  async #commitNewAttempt(job: CallJob): Promise<CallJob | undefined> {
    const { context, budgets, shards } = this.#parts;
    const { reservation, id: call } = job.record;
    const attempt = job.record.attempt + 1;
    job.active.enter("next attempt");
    if (reservation.tokens > 0) await budgets.ensureAvailable(job.replica, job.policy, reservation.tokens);
    const executor = context.self.address;
    const atMs = context.clock.wallMs();
    const command = { type: "retryCall", call, attempt, executor, atMs } as const;
    const result = await budgets.reserve(job.replica, job.policy, reservation.tokens, () =>
      shards.propose(job.replica, command),
    );
    if (!result.accepted && result.reason === "budget-short") return undefined;
    if (!result.accepted) throw new RedirectSignal(job.replica.leader?.address);
    return { ...job, record: { ...job.record, attempt } };
  }

  #concludeFailed(
    program: ProgramRecord,
    record: CallRecord,
    policy: EffectivePolicy | undefined,
    problem: Problem,
  ): CallConclusion {
    const { decisions } = this.#parts;
    const { attempt, reservation, id } = record;
    const decision = decisions.build({
      subject: id,
      verdict: "placed",
      rule: "the call had been placed before, and could not be finished",
      inputs: decisions.inputsOf(program, policy),
      attempts: attempt,
    });
    return {
      attempt,
      outcome: failedWith(problem),
      chargedTokens: reservation.tokens,
      serviceMs: 0,
      decision,
    };
  }

  /** Commits the outcome and reports it. Keeps trying for as long as the caller waits, since the answer is ready. */
  async #finish({ replica, active, record, deadlineMs }: CallJob, conclusion: CallConclusion): Promise<void> {
    const { committer, context } = this.#parts;
    const command = { type: "finishCall", call: active.id, atMs: context.clock.wallMs() } as const;
    active.enter("outcome");
    const patienceMs = deadlineMs - context.clock.monotonicMs();
    const result = await committer.commit(replica.shard, { ...command, ...conclusion }, patienceMs);
    const final = result.accepted
      ? eventOfOutcome(active.id, record.number, conclusion.outcome)
      : this.#eventFromOtherLeader(replica, active.id);
    if (!final) throw new RedirectSignal(replica.leader?.address);
    if (conclusion.outcome.type === "answered") this.#counters.answered += 1;
    else this.#counters.failed += 1;
    active.publish(final);
  }

  /** Another leader ended the call. Only the state of a current leader is certain to hold the outcome. */
  #eventFromOtherLeader(replica: ShardReplica, call: string): CallEvent | undefined {
    const record = replica.leads ? replica.state.programs.call(call) : undefined;
    return record && finalEventOf(record);
  }

  #send(to: string, event: CallEvent): void {
    this.#parts.context.transport.send(to, event);
  }
}
