/**
 * The leader's handling of calls. Each program's calls run one at a time and in order. The intent is committed before
 * a call is sent, and the outcome before it is reported. After a change of leader, the new leader finishes the calls
 * that the old one started.
 */
import type { Problem } from "../../errors/problem.ts";
import { problemOf, problemOfError } from "../../errors/tulipwheel-error.ts";
import type { AbandonCall, CallEvent, SubmitCall } from "../../messages/call-messages.ts";
import { repeat } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import { programOfCall } from "../../scheduling/program/program-id.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardCommand } from "../../scheduling/shard-state.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { ActiveCall } from "./active-call.ts";
import { CallAdmission, hashOfRequest } from "./call-admission.ts";
import { finalEventOf, refusalEventOf } from "./call-events.ts";
import { CallExecutor } from "./call-executor.ts";
import type { CallCounters, CallServiceParts } from "./call-service-parts.ts";
import { CallTakeover } from "./call-takeover.ts";
import { ProgramQueue, type QueuedCall } from "./program-queue.ts";

const UNAVAILABLE_RETRY_AFTER_MS = 1_000;
/** Time in which a shard that lost its leader usually has another one that commits, in ms. */
const COMMIT_GRACE_MS = 2_000;

/** A call that waits in its program's queue, as the log reports it. */
export interface QueuedCallState {
  readonly call: string;
  readonly waitedMs: number;
  readonly leads: boolean;
  /** Whether an earlier call of the program is being admitted or executed here. */
  readonly busy: boolean;
  /** The program's call that is open, wherever it is executed. */
  readonly openCall: string | undefined;
}

/** Handles submitted calls for the shards that this node leads. */
export class CallService {
  readonly counters: CallCounters = { answered: 0, failed: 0, refused: 0, takenOver: 0 };
  readonly #parts: CallServiceParts;
  readonly #executor: CallExecutor;
  readonly #admission: CallAdmission;
  readonly #takeover: CallTakeover;
  readonly #queues = new Map<string, ProgramQueue>();
  readonly #stops: (() => void)[] = [];
  #admitting = true;

  constructor(parts: CallServiceParts) {
    this.#parts = parts;
    this.#executor = new CallExecutor(parts, this.counters);
    this.#admission = new CallAdmission(parts, this.counters);
    this.#takeover = new CallTakeover(parts, this.#executor, {
      resume: (replica, program, record, entry) => void this.#resume(replica, program, record, entry),
    });
    parts.shards.observe({
      onLeadershipChanged: (replica) => this.#onLeadershipChanged(replica),
      onApplied: (replica, command) => this.#onApplied(replica, command),
    });
  }

  /** Number of calls in progress on this node. */
  get activeCalls(): number {
    return this.#executor.size;
  }

  /** Returns the calls in progress on this node. */
  executing(): IterableIterator<ActiveCall> {
    return this.#executor.all();
  }

  /** Returns, for the log, the calls that have waited in their programs' queues for at least `minWaitMs`. */
  queuedCalls(minWaitMs: number): QueuedCallState[] {
    const nowMs = this.#nowMs();
    return [...this.#queues].flatMap(([program, queue]) => {
      const replica = this.#parts.shards.get(this.#parts.shards.shardOfProgram(program));
      const record = replica?.state.programs.get(program);
      const waiting = queue.entries().filter((entry) => nowMs - entry.arrivedMs >= minWaitMs);
      return waiting.map(({ submit, arrivedMs }) => ({
        call: submit.call,
        waitedMs: Math.round(nowMs - arrivedMs),
        leads: replica?.leads ?? false,
        busy: queue.busy,
        openCall: record && openCallOf(record)?.id,
      }));
    });
  }

  /** Starts the timers. */
  start(): void {
    const { clock, settings } = this.#parts.context;
    this.#stops.push(repeat(clock, settings.timing.callAliveMs, () => this.#sendKeepAlives()));
    this.#stops.push(repeat(clock, settings.timing.tickMs, () => this.#refuseOutOfOrderCalls()));
  }

  /** Stops the timers. */
  stop(): void {
    for (const stop of this.#stops) stop();
  }

  /** Redirects new calls from now on; calls in progress continue. */
  stopAdmitting(): void {
    this.#admitting = false;
  }

  /** Handles the submission of a call, whether it is new or repeated. */
  onSubmit(submit: SubmitCall, from: string): void {
    const { shards, configuration } = this.#parts;
    const active = this.#executor.get(submit.call);
    if (active) return active.subscribe(from, submit.receivedText);
    const replica = shards.get(shards.shardOfProgram(submit.program));
    if (!replica?.leads) return this.#redirect(submit.call, from, replica);
    if (!configuration.ready || !this.#admitting) return this.#redirect(submit.call, from, undefined);
    const program = replica.state.programs.get(submit.program);
    if (!program || program.tenant !== submit.tenant)
      return this.#send(from, inaccessibleProgramEvent(submit, program));
    const settled = this.#conflictEvent(replica, submit) ?? settledEvent(replica, program, submit);
    if (settled) return this.#send(from, settled);
    this.#send(from, { type: "callAccepted", call: submit.call });
    this.#enqueue(replica, program, { submit, from, arrivedMs: this.#nowMs() });
  }

  /** Handles a caller's disconnect. Cancels the call if no other node waits for it, so that it stops using capacity. */
  onAbandon({ call }: AbandonCall, from: string): void {
    const active = this.#executor.get(call);
    active?.unsubscribe(from);
    if (active && !active.hasSubscribers) active.cancellation.cancel();
    for (const queue of this.#queues.values()) queue.remove(call);
  }

  // Ordering of a program's calls

  #enqueue(replica: ShardReplica, program: ProgramRecord, entry: QueuedCall): void {
    const open = openCallOf(program);
    if (open?.id === entry.submit.call) return this.#takeover.onSubmit(replica, program, open, entry);
    this.#queueOf(program.id).add(entry);
    this.#startNext(replica, program);
  }

  #startNext(replica: ShardReplica, program: ProgramRecord): void {
    const queue = this.#queueOf(program.id);
    if (queue.busy || !replica.leads || openCallOf(program)) return;
    const entry = queue.takeNext(program.nextNumber);
    if (entry) void this.#runExclusively(replica, program, () => this.#runEntry(replica, program, entry));
    else if (queue.length === 0) this.#queues.delete(program.id);
  }

  /** Starts the next call after one that an earlier leader executed. */
  #onApplied(replica: ShardReplica, command: ShardCommand): void {
    if (command.type !== "finishCall" || !replica.leads) return;
    const program = replica.state.programs.get(programOfCall(command.call));
    if (program && this.#queues.has(program.id)) this.#startNext(replica, program);
  }

  /** Marks the program's queue as busy while a call runs, then starts the next call. */
  async #runExclusively(
    replica: ShardReplica,
    program: ProgramRecord,
    work: () => Promise<void>,
  ): Promise<void> {
    const queue = this.#queueOf(program.id);
    queue.busy = true;
    try {
      await work();
    } finally {
      queue.busy = false;
      this.#startNext(replica, program);
    }
  }

  async #runEntry(replica: ShardReplica, program: ProgramRecord, entry: QueuedCall): Promise<void> {
    try {
      const repeated = this.#repeatedNumberEvent(program, entry);
      if (repeated) return this.#send(entry.from, repeated);
      const admitted = await this.#admission.admit(replica, program, entry.submit);
      if (!admitted) return this.#sendSettledEvent(replica, program, entry);
      await this.#executor.run({ replica, program, entry, takenOver: false, ...admitted });
    } catch (error) {
      this.#onRunFailed(entry, replica, error);
    }
  }

  /** Resumes a call whose intent an earlier leader committed. */
  async #resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: QueuedCall | undefined,
  ): Promise<void> {
    if (this.#queueOf(program.id).busy || this.#executor.get(record.id)) return;
    this.counters.takenOver += 1;
    await this.#runExclusively(replica, program, async () => {
      try {
        const policy = this.#parts.configuration.findPolicy(program);
        if (!policy)
          return await this.#executor.failCall(replica, program, record, templateWithdrawnProblem(program));
        const committed = Promise.resolve();
        await this.#executor.run({ replica, program, record, policy, entry, committed, takenOver: true });
      } catch (error) {
        if (entry) this.#onRunFailed(entry, replica, error);
      }
    });
  }

  /** Handles a number that is already used: the same request gets the earlier answer, a different one a conflict. */
  #repeatedNumberEvent(program: ProgramRecord, { submit }: QueuedCall): CallEvent | undefined {
    if (submit.number === undefined || submit.number >= program.nextNumber) return undefined;
    const earlier = program.calls.find((call) => call.number === submit.number);
    const final = earlier && finalEventOf(earlier);
    if (final && earlier.requestHash === this.#hashOf(submit)) return { ...final, call: submit.call };
    const detail = `Call number ${submit.number} of ${program.id} was already used with another request.`;
    return { type: "callFailed", call: submit.call, problem: problemOf("call-conflict", detail) };
  }

  #refuseOutOfOrderCalls(): void {
    const beforeMs = this.#nowMs() - this.#parts.context.settings.timing.callGapMs;
    for (const [programId, queue] of this.#queues) {
      if (queue.busy || this.#hasOpenCall(programId)) continue;
      for (const entry of queue.takeOlderThan(beforeMs)) void this.#refuseOutOfOrderCall(programId, entry);
    }
  }

  #hasOpenCall(programId: string): boolean {
    const { shards } = this.#parts;
    const program = shards.get(shards.shardOfProgram(programId))?.state.programs.get(programId);
    return program !== undefined && openCallOf(program) !== undefined;
  }

  async #refuseOutOfOrderCall(programId: string, entry: QueuedCall): Promise<void> {
    const replica = this.#parts.shards.get(this.#parts.shards.shardOfProgram(programId));
    const program = replica?.state.programs.get(programId);
    if (!replica?.leads || !program) return;
    const detail = `${programId} waits for call number ${program.nextNumber}, not ${entry.submit.number}.`;
    const rule = "calls run in the order of their numbers";
    try {
      await this.#admission.refuse(replica, program, entry.submit, {
        kind: "call-out-of-order",
        detail,
        rule,
      });
      this.#sendSettledEvent(replica, program, entry);
    } catch (error) {
      this.#onRunFailed(entry, replica, error);
    }
  }

  // Change of leader

  #onLeadershipChanged(replica: ShardReplica): void {
    if (replica.leads) this.#takeover.onBecameLeader(replica);
    else this.#redirectWaitingCalls(replica);
  }

  /** Redirects waiting calls to the new leader. Calls in progress continue here, and the new leader commits them. */
  #redirectWaitingCalls(replica: ShardReplica): void {
    for (const program of replica.state.programs.all()) {
      const queue = this.#queues.get(program.id);
      this.#queues.delete(program.id);
      for (const { submit, from } of queue?.takeOlderThan(Number.POSITIVE_INFINITY) ?? []) {
        this.#redirect(submit.call, from, replica);
      }
    }
  }

  #onRunFailed(entry: QueuedCall, replica: ShardReplica, error: unknown): void {
    if (error instanceof RedirectSignal) return this.#redirect(entry.submit.call, entry.from, replica);
    const problem = problemOfError(error);
    this.#parts.context.log.warn({ call: entry.submit.call, problem }, "call could not be executed");
    const retryAfterMs = problem.retryAfterMs ?? UNAVAILABLE_RETRY_AFTER_MS;
    const unknown = { ...problem, outcome: "unknown", retryAfterMs } as const;
    this.#send(entry.from, { type: "callFailed", call: entry.submit.call, problem: unknown });
  }

  // Helpers

  #sendSettledEvent(replica: ShardReplica, program: ProgramRecord, { submit, from }: QueuedCall): void {
    const event = settledEvent(replica, program, submit);
    if (event) this.#send(from, event);
  }

  /** Detects that a call identifier, derived from an idempotency key, was already used with another request. */
  #conflictEvent(replica: ShardReplica, submit: SubmitCall): CallEvent | undefined {
    const record = replica.state.programs.call(submit.call);
    if (!record || record.requestHash === this.#hashOf(submit)) return undefined;
    const detail = `The idempotency key of call ${submit.call} was already used with another request.`;
    return { type: "callFailed", call: submit.call, problem: problemOf("call-conflict", detail) };
  }

  #sendKeepAlives(): void {
    for (const active of this.#executor.all()) {
      if (!this.#isCutOff(active)) active.publish({ type: "callAccepted", call: active.id });
    }
    for (const queue of this.#queues.values()) {
      for (const { submit, from } of queue.entries())
        this.#send(from, { type: "callAccepted", call: submit.call });
    }
  }

  /**
   * Whether a call can't be committed because this node lost the shard and does not reach its leader. This node then
   * falls silent, so that the callers' nodes submit the call to the leader.
   */
  #isCutOff(active: ActiveCall): boolean {
    const { shards } = this.#parts;
    if (!active.awaitsCommit || active.idleMs < COMMIT_GRACE_MS) return false;
    return !shards.get(shards.shardOfCall(active.id))?.leads;
  }

  #redirect(call: string, to: string, replica: ShardReplica | undefined): void {
    const leader = replica?.leads ? undefined : replica?.leader?.address;
    this.#send(to, { type: "callRedirected", call, leader });
  }

  #send(to: string, event: CallEvent): void {
    this.#parts.context.transport.send(to, event);
  }

  #queueOf(program: string): ProgramQueue {
    const queue = this.#queues.get(program) ?? new ProgramQueue();
    this.#queues.set(program, queue);
    return queue;
  }

  #hashOf(submit: SubmitCall): string {
    return hashOfRequest(this.#parts.context.hash.hash64, submit.request);
  }

  #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}

/** Returns the event of a call's committed outcome or refusal, if it has one. */
function settledEvent(
  replica: ShardReplica,
  program: ProgramRecord,
  submit: SubmitCall,
): CallEvent | undefined {
  const record = replica.state.programs.call(submit.call);
  return (record && finalEventOf(record)) ?? refusalEventOf(program, submit.call);
}

function templateWithdrawnProblem({ tenant, template }: ProgramRecord): Problem {
  const detail = `The template ${template} of ${tenant} was withdrawn while the call ran.`;
  return problemOf("unknown-template", detail, { outcome: "unknown" });
}

function inaccessibleProgramEvent(submit: SubmitCall, program: ProgramRecord | undefined): CallEvent {
  const problem = program
    ? problemOf("foreign-program", `Program ${submit.program} does not belong to ${submit.tenant}.`)
    : problemOf("not-found", `There is no program ${submit.program}.`);
  return { type: "callFailed", call: submit.call, problem };
}
