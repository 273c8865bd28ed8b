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
import type { LaneEntry } from "./program-lane.ts";

/** A call to be carried out. */
export interface Execution {
  readonly replica: ShardReplica;
  readonly program: ProgramRecord;
  readonly record: CallRecord;
  readonly policy: EffectivePolicy;
  /** Who handed the call in; undefined when nobody is known to wait. */
  readonly entry: LaneEntry | undefined;
  /** Resolves once the intent is committed. */
  readonly committed: Promise<void>;
  /** Whether an earlier leader began the call. */
  readonly takenOver: boolean;
}

const TAKEOVER_DETAIL = "The call was cut off, and the budget does not cover a second attempt.";
const FAILED = { outcome: "failed" } as const;

/** Carries calls out on this node, from the intent to the committed end, and tells those who wait. */
export class CallExecution {
  readonly #parts: CallServiceParts;
  readonly #counters: CallCounters;
  readonly #active = new Map<string, ActiveCall>();

  constructor(parts: CallServiceParts, counters: CallCounters) {
    this.#parts = parts;
    this.#counters = counters;
    parts.rpc.handle("queryCall", async ({ call }) => ({ running: this.#active.has(call) }));
  }

  /** Calls being carried out here. */
  get size(): number {
    return this.#active.size;
  }

  /** A call that is being carried out here. */
  get(call: string): ActiveCall | undefined {
    return this.#active.get(call);
  }

  /** Every call that is being carried out here. */
  all(): IterableIterator<ActiveCall> {
    return this.#active.values();
  }

  /** Carries a call out. Throws a redirect when another leader has taken it over. */
  async run(execution: Execution): Promise<void> {
    const { record, entry } = execution;
    const receivedText = entry?.submit.receivedText ?? "";
    const active = new ActiveCall(record.id, receivedText, (to, event) => this.#send(to, event));
    this.#active.set(record.id, active);
    if (entry) active.subscribe(entry.from, receivedText);
    try {
      const conclusion = await this.#executeOrFail(this.#jobOf(execution, active), execution.takenOver);
      await this.#finish(execution.replica, active, record.number, conclusion);
    } finally {
      this.#active.delete(record.id);
    }
  }

  /** Ends a call that cannot be carried out at all, so that the program's next calls need not wait for ever. */
  async abandon(
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

  #jobOf({ replica, program, record, policy, entry, committed }: Execution, active: ActiveCall): CallJob {
    const { clock, settings } = this.#parts.context;
    const patienceMs = entry?.submit.patienceMs ?? settings.timing.orphanPatienceMs;
    const deadlineMs = clock.monotonicMs() + patienceMs;
    if (!record.request) throw new RedirectSignal(replica.leader?.address);
    return { replica, program, record, policy, active, deadlineMs, committed, request: record.request };
  }

  /** A fault of ours must not leave the call open: the program's next calls would wait for ever. */
  async #executeOrFail(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    try {
      return await this.#execute(job, takenOver);
    } catch (error) {
      if (error instanceof RedirectSignal) throw error;
      const { log } = this.#parts.context;
      log.error({ call: job.record.id, err: error }, "call failed by a fault of the scheduler");
      return this.#concludeFailed(job.program, job.record, job.policy, problemOfError(error));
    }
  }

  async #execute(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    if (job.request.type === "completion") {
      const attempted = takenOver ? await this.#countAttempt(job) : job;
      if (attempted) return this.#parts.completions.run(attempted as CallJob<CompletionRequest>);
      const problem = problemOf("budget-exhausted", TAKEOVER_DETAIL, FAILED);
      return this.#concludeFailed(job.program, job.record, job.policy, problem);
    }
    const serviceJob = job as CallJob<ServiceRequest>;
    if (takenOver && !job.record.repeatable) return this.#parts.services.concludeUnknown(serviceJob);
    return this.#parts.services.run(serviceJob);
  }

  /** The earlier leader may have sent the attempt that is recorded, so a new one is committed first. */
  async #countAttempt(job: CallJob): Promise<CallJob | undefined> {
    const { context, budgets, shards } = this.#parts;
    const { reservation, id: call } = job.record;
    const attempt = job.record.attempt + 1;
    if (reservation.tokens > 0) await budgets.ensureAvailable(job.replica, job.policy, reservation.tokens);
    const executor = context.self.address;
    const atMs = context.clock.wallMs();
    const result = await shards.propose(job.replica, { type: "retryCall", call, attempt, executor, atMs });
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

  async #finish(
    replica: ShardReplica,
    active: ActiveCall,
    number: number,
    conclusion: CallConclusion,
  ): Promise<void> {
    const { committer, context } = this.#parts;
    const command = { type: "finishCall", call: active.id, atMs: context.clock.wallMs() } as const;
    const result = await committer.commit(replica.shard, { ...command, ...conclusion });
    const final = result.accepted
      ? eventOfOutcome(active.id, number, conclusion.outcome)
      : this.#eventOfOther(replica, active.id);
    if (!final) throw new RedirectSignal(replica.leader?.address);
    if (conclusion.outcome.type === "answered") this.#counters.answered += 1;
    else this.#counters.failed += 1;
    active.publish(final);
  }

  /** Another leader ended the call; only a leader's state is sure to hold how. */
  #eventOfOther(replica: ShardReplica, call: string): CallEvent | undefined {
    const record = replica.leads ? replica.state.programs.call(call) : undefined;
    return record && finalEventOf(record);
  }

  #send(to: string, event: CallEvent): void {
    this.#parts.context.transport.send(to, event);
  }
}
