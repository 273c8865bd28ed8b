/**
 * The leader's handling of calls: one at a time and in order for each program, each committed before it leaves
 * and before its end is told. After a change of leader, the new one finishes what the old one began.
 */
import type { Problem } from "../../errors/problem.ts";
import { problemOf, problemOfError } from "../../errors/tulipwheel-error.ts";
import type { AbandonCall, CallEvent, SubmitCall } from "../../messages/call-messages.ts";
import { repeat } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import { CallAdmission, hashOfRequest } from "./call-admission.ts";
import { finalEventOf, refusalEventOf } from "./call-events.ts";
import { CallExecution } from "./call-execution.ts";
import type { CallCounters, CallServiceParts } from "./call-service-parts.ts";
import { CallTakeover } from "./call-takeover.ts";
import { type LaneEntry, ProgramLane } from "./program-lane.ts";

const UNAVAILABLE_RETRY_AFTER_MS = 1_000;

/** See the module's comment. */
export class CallService {
  readonly counters: CallCounters = { answered: 0, failed: 0, refused: 0, takenOver: 0 };
  readonly #parts: CallServiceParts;
  readonly #execution: CallExecution;
  readonly #admission: CallAdmission;
  readonly #takeover: CallTakeover;
  readonly #lanes = new Map<string, ProgramLane>();
  readonly #stops: (() => void)[] = [];
  #admitting = true;

  constructor(parts: CallServiceParts) {
    this.#parts = parts;
    this.#execution = new CallExecution(parts, this.counters);
    this.#admission = new CallAdmission(parts, this.counters);
    this.#takeover = new CallTakeover(parts, this.#execution, {
      resume: (replica, program, record, entry) => void this.#resume(replica, program, record, entry),
    });
    parts.shards.observe({ onLeadershipChanged: (replica) => this.#onLeadershipChanged(replica) });
  }

  /** Calls being carried out here. */
  get activeCalls(): number {
    return this.#execution.size;
  }

  /** Starts the timers. */
  start(): void {
    const { clock, settings } = this.#parts.context;
    this.#stops.push(repeat(clock, settings.timing.callAliveMs, () => this.#signalLife()));
    this.#stops.push(repeat(clock, settings.timing.tickMs, () => this.#refuseGaps()));
  }

  /** Stops the timers. */
  stop(): void {
    for (const stop of this.#stops) stop();
  }

  /** From now on new calls are sent elsewhere; calls under way go on. */
  stopAdmitting(): void {
    this.#admitting = false;
  }

  /** A node hands in a call, for the first time or again. */
  onSubmit(submit: SubmitCall, from: string): void {
    const { shards, configuration } = this.#parts;
    const active = this.#execution.get(submit.call);
    if (active) return active.subscribe(from, submit.receivedText);
    const replica = shards.get(shards.shardOfProgram(submit.program));
    if (!replica?.leads) return this.#redirect(submit.call, from, replica);
    if (!configuration.ready || !this.#admitting) return this.#redirect(submit.call, from, undefined);
    const program = replica.state.programs.get(submit.program);
    if (!program || program.tenant !== submit.tenant) return this.#send(from, strangerEvent(submit, program));
    const settled = this.#conflictEvent(replica, submit) ?? settledEvent(replica, program, submit);
    if (settled) return this.#send(from, settled);
    this.#send(from, { type: "callAccepted", call: submit.call });
    this.#enqueue(replica, program, { submit, from, arrivedMs: this.#nowMs() });
  }

  /** A caller hung up. When nobody else waits, the call is cancelled, so that it costs others nothing. */
  onAbandon({ call }: AbandonCall, from: string): void {
    const active = this.#execution.get(call);
    active?.unsubscribe(from);
    if (active && !active.hasSubscribers) active.cancellation.cancel();
    for (const lane of this.#lanes.values()) lane.remove(call);
  }

  // Order

  #enqueue(replica: ShardReplica, program: ProgramRecord, entry: LaneEntry): void {
    const open = openCallOf(program);
    if (open?.id === entry.submit.call) return this.#takeover.onSubmit(replica, program, open, entry);
    this.#laneOf(program.id).add(entry);
    this.#pump(replica, program);
  }

  #pump(replica: ShardReplica, program: ProgramRecord): void {
    const lane = this.#laneOf(program.id);
    if (lane.busy || !replica.leads || openCallOf(program)) return;
    const entry = lane.takeNext(program.nextNumber);
    if (entry) void this.#occupy(replica, program, () => this.#runEntry(replica, program, entry));
    else if (lane.length === 0) this.#lanes.delete(program.id);
  }

  /** Holds the program's lane while a call runs. */
  async #occupy(replica: ShardReplica, program: ProgramRecord, work: () => Promise<void>): Promise<void> {
    const lane = this.#laneOf(program.id);
    lane.busy = true;
    try {
      await work();
    } finally {
      lane.busy = false;
      this.#pump(replica, program);
    }
  }

  async #runEntry(replica: ShardReplica, program: ProgramRecord, entry: LaneEntry): Promise<void> {
    try {
      const repeated = this.#repeatedNumber(program, entry);
      if (repeated) return this.#send(entry.from, repeated);
      const admitted = await this.#admission.admit(replica, program, entry.submit);
      if (!admitted) return this.#tellSettled(replica, program, entry);
      await this.#execution.run({ replica, program, entry, takenOver: false, ...admitted });
    } catch (error) {
      this.#onLost(entry, replica, error);
    }
  }

  /** Goes on with a call whose intent an earlier leader committed. */
  async #resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: LaneEntry | undefined,
  ): Promise<void> {
    if (this.#laneOf(program.id).busy || this.#execution.get(record.id)) return;
    this.counters.takenOver += 1;
    await this.#occupy(replica, program, async () => {
      try {
        const policy = this.#parts.configuration.findPolicy(program);
        if (!policy) return await this.#execution.abandon(replica, program, record, templateGone(program));
        const committed = Promise.resolve();
        await this.#execution.run({ replica, program, record, policy, entry, committed, takenOver: true });
      } catch (error) {
        if (entry) this.#onLost(entry, replica, error);
      }
    });
  }

  /** A number that is taken: the same request again is answered as before, another one is a conflict. */
  #repeatedNumber(program: ProgramRecord, { submit }: LaneEntry): CallEvent | undefined {
    if (submit.number === undefined || submit.number >= program.nextNumber) return undefined;
    const earlier = program.calls.find((call) => call.number === submit.number);
    const final = earlier && finalEventOf(earlier);
    if (final && earlier.requestHash === this.#hashOf(submit)) return { ...final, call: submit.call };
    const detail = `Call number ${submit.number} of ${program.id} was already used with another request.`;
    return { type: "callFailed", call: submit.call, problem: problemOf("call-conflict", detail) };
  }

  #refuseGaps(): void {
    const beforeMs = this.#nowMs() - this.#parts.context.settings.timing.callGapMs;
    for (const [programId, lane] of this.#lanes) {
      if (lane.busy) continue;
      for (const entry of lane.takeOlderThan(beforeMs)) void this.#refuseGap(programId, entry);
    }
  }

  async #refuseGap(programId: string, entry: LaneEntry): Promise<void> {
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
      this.#tellSettled(replica, program, entry);
    } catch (error) {
      this.#onLost(entry, replica, error);
    }
  }

  // Change of leader

  #onLeadershipChanged(replica: ShardReplica): void {
    if (replica.leads) this.#takeover.onLeading(replica);
    else this.#letGo(replica);
  }

  /** Calls under way are carried on here and committed by the new leader; those that wait go to the new leader. */
  #letGo(replica: ShardReplica): void {
    for (const program of replica.state.programs.all()) {
      const lane = this.#lanes.get(program.id);
      this.#lanes.delete(program.id);
      for (const { submit, from } of lane?.takeOlderThan(Number.POSITIVE_INFINITY) ?? []) {
        this.#redirect(submit.call, from, replica);
      }
    }
  }

  #onLost(entry: LaneEntry, replica: ShardReplica, error: unknown): void {
    if (error instanceof RedirectSignal) return this.#redirect(entry.submit.call, entry.from, replica);
    const problem = problemOfError(error);
    this.#parts.context.log.warn({ call: entry.submit.call, problem }, "call could not be carried out");
    const retryAfterMs = problem.retryAfterMs ?? UNAVAILABLE_RETRY_AFTER_MS;
    const unknown = { ...problem, outcome: "unknown", retryAfterMs } as const;
    this.#send(entry.from, { type: "callFailed", call: entry.submit.call, problem: unknown });
  }

  // Small helpers

  #tellSettled(replica: ShardReplica, program: ProgramRecord, { submit, from }: LaneEntry): void {
    const event = settledEvent(replica, program, submit);
    if (event) this.#send(from, event);
  }

  /** The same call identifier, made from an idempotency key, with another request. */
  #conflictEvent(replica: ShardReplica, submit: SubmitCall): CallEvent | undefined {
    const record = replica.state.programs.call(submit.call);
    if (!record || record.requestHash === this.#hashOf(submit)) return undefined;
    const detail = `The idempotency key of call ${submit.call} was already used with another request.`;
    return { type: "callFailed", call: submit.call, problem: problemOf("call-conflict", detail) };
  }

  #signalLife(): void {
    for (const active of this.#execution.all()) active.publish({ type: "callAccepted", call: active.id });
    for (const lane of this.#lanes.values()) {
      for (const { submit, from } of lane.entries())
        this.#send(from, { type: "callAccepted", call: submit.call });
    }
  }

  #redirect(call: string, to: string, replica: ShardReplica | undefined): void {
    const leader = replica?.leads ? undefined : replica?.leader?.address;
    this.#send(to, { type: "callRedirected", call, leader });
  }

  #send(to: string, event: CallEvent): void {
    this.#parts.context.transport.send(to, event);
  }

  #laneOf(program: string): ProgramLane {
    const lane = this.#lanes.get(program) ?? new ProgramLane();
    this.#lanes.set(program, lane);
    return lane;
  }

  #hashOf(submit: SubmitCall): string {
    return hashOfRequest(this.#parts.context.hash.hash64, submit.request);
  }

  #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}

/** The committed end or refusal of a call, if it has one. */
function settledEvent(
  replica: ShardReplica,
  program: ProgramRecord,
  submit: SubmitCall,
): CallEvent | undefined {
  const record = replica.state.programs.call(submit.call);
  return (record && finalEventOf(record)) ?? refusalEventOf(program, submit.call);
}

function templateGone({ tenant, template }: ProgramRecord): Problem {
  const detail = `The template ${template} of ${tenant} was withdrawn while the call ran.`;
  return problemOf("unknown-template", detail, { outcome: "unknown" });
}

function strangerEvent(submit: SubmitCall, program: ProgramRecord | undefined): CallEvent {
  const problem = program
    ? problemOf("foreign-program", `Program ${submit.program} does not belong to ${submit.tenant}.`)
    : problemOf("not-found", `There is no program ${submit.program}.`);
  return { type: "callFailed", call: submit.call, problem };
}
