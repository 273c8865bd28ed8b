/**
 * The leader's handling of calls: one at a time and in order for each program, each committed before it leaves
 * and before its end is told. After a change of leader, the new one finishes what the old one began.
 */
import type { ErrorKindName } from "../../errors/error-kinds.ts";
import type { Problem } from "../../errors/problem.ts";
import { problemOf, problemOfError } from "../../errors/tulipwheel-error.ts";
import type { AbandonCall, CallEvent, SubmitCall } from "../../messages/call-messages.ts";
import { repeat } from "../../runtime/clock.ts";
import { RedirectSignal, type RpcEndpoint } from "../../runtime/rpc.ts";
import type { AdmissionRefusal } from "../../scheduling/admission/check-call.ts";
import { checkCall } from "../../scheduling/admission/check-call.ts";
import { worstCaseTokens } from "../../scheduling/admission/worst-case-tokens.ts";
import type { DecisionInputs } from "../../scheduling/decision/decision.ts";
import { type EffectivePolicy, isRepeatable } from "../../scheduling/policy/effective-policy.ts";
import type { IntendCall } from "../../scheduling/program/commands.ts";
import type {
  CallRecord,
  CallRequest,
  CompletionRequest,
  ProgramRecord,
  ServiceRequest,
} from "../../scheduling/program/records.ts";
import type { BudgetService } from "../budgets/budget-service.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardCommitter } from "../shard-committer.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";
import { ActiveCall } from "./active-call.ts";
import { eventOfOutcome, finalEventOf, refusalEventOf } from "./call-events.ts";
import { type CallConclusion, type CallJob, failedWith } from "./call-job.ts";
import type { CompletionRunner } from "./completion-runner.ts";
import type { DecisionBuilder } from "./decision-builder.ts";
import { type LaneEntry, ProgramLane } from "./program-lane.ts";
import type { ServiceRunner } from "./service-runner.ts";

/** What {@link CallService} is made of. */
export interface CallServiceParts {
  readonly context: NodeContext;
  readonly shards: ShardHost;
  readonly configuration: ConfigurationService;
  readonly budgets: BudgetService;
  readonly completions: CompletionRunner;
  readonly services: ServiceRunner;
  readonly decisions: DecisionBuilder;
  readonly committer: ShardCommitter;
  readonly rpc: RpcEndpoint;
}

/** Counters of calls since the start of the process. */
export interface CallCounters {
  answered: number;
  failed: number;
  refused: number;
  takenOver: number;
}

const QUERY_TIMEOUT_MS = 1_000;
const BUDGET_RETRY_AFTER_MS = 60_000;
const UNAVAILABLE_RETRY_AFTER_MS = 1_000;
const TAKEOVER_DETAIL = "The call was cut off, and the budget does not cover a second attempt.";
const FAILED = { outcome: "failed" } as const;

/** See the module's comment. */
export class CallService {
  readonly counters: CallCounters = { answered: 0, failed: 0, refused: 0, takenOver: 0 };
  readonly #parts: CallServiceParts;
  readonly #lanes = new Map<string, ProgramLane>();
  readonly #active = new Map<string, ActiveCall>();
  readonly #stops: (() => void)[] = [];
  #admitting = true;

  constructor(parts: CallServiceParts) {
    this.#parts = parts;
    parts.rpc.handle("queryCall", async ({ call }) => ({ running: this.#active.has(call) }));
    parts.shards.observe({ onLeadershipChanged: (replica) => this.#onLeadershipChanged(replica) });
  }

  /** Calls being carried out here. */
  get activeCalls(): number {
    return this.#active.size;
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

  /** A sidecar hands in a call, for the first time or again. */
  onSubmit(submit: SubmitCall, from: string): void {
    const active = this.#active.get(submit.call);
    if (active) return active.subscribe(from, submit.receivedText);
    const replica = this.#parts.shards.get(this.#parts.shards.shardOfProgram(submit.program));
    if (!replica?.leads) return this.#redirect(submit.call, from, replica);
    if (!this.#parts.configuration.ready || !this.#admitting)
      return this.#redirect(submit.call, from, undefined);
    const program = replica.state.programs.get(submit.program);
    if (!program || program.tenant !== submit.tenant) return this.#send(from, strangerEvent(submit, program));
    const settled = this.#conflictEvent(replica, submit) ?? this.#settledEvent(replica, program, submit);
    if (settled) return this.#send(from, settled);
    this.#send(from, { type: "callAccepted", call: submit.call });
    const open = openCallOf(program);
    const entry = { submit, from, arrivedMs: this.#nowMs() };
    if (open?.id === submit.call) return void this.#resumeOrLeave(replica, program, open, entry);
    this.#laneOf(program.id).add(entry);
    this.#pump(replica, program);
  }

  /** A caller hung up. When nobody else waits, the call is cancelled, so that it costs others nothing. */
  onAbandon({ call }: AbandonCall, from: string): void {
    const active = this.#active.get(call);
    active?.unsubscribe(from);
    if (active && !active.hasSubscribers) active.cancellation.cancel();
    for (const lane of this.#lanes.values()) lane.remove(call);
  }

  // Order

  #pump(replica: ShardReplica, program: ProgramRecord): void {
    const lane = this.#laneOf(program.id);
    if (lane.busy || !replica.leads) return;
    if (openCallOf(program)) return;
    const entry = lane.takeNext(program.nextNumber);
    if (!entry) {
      if (lane.length === 0) this.#lanes.delete(program.id);
      return;
    }
    lane.busy = true;
    void this.#runEntry(replica, program, entry).finally(() => {
      lane.busy = false;
      this.#pump(replica, program);
    });
  }

  async #runEntry(replica: ShardReplica, program: ProgramRecord, entry: LaneEntry): Promise<void> {
    try {
      const repeated = this.#repeatedNumber(program, entry);
      if (repeated) this.#send(entry.from, repeated);
      else await this.#startOrRefuse(replica, program, entry);
    } catch (error) {
      this.#onLost(entry, replica, error);
    }
  }

  /** A number that is taken: the same request again is answered as before, another one is a conflict. */
  #repeatedNumber(program: ProgramRecord, { submit }: LaneEntry): CallEvent | undefined {
    if (submit.number === undefined || submit.number >= program.nextNumber) return undefined;
    const earlier = program.calls.find((call) => call.number === submit.number);
    const final = earlier && finalEventOf(earlier);
    if (final && earlier.requestHash === this.#hashOf(submit.request)) return { ...final, call: submit.call };
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
    const refusal = {
      kind: "call-out-of-order",
      detail,
      rule: "calls run in the order of their numbers",
    } as const;
    await this.#refuse(replica, program, entry, refusal).catch((error) =>
      this.#onLost(entry, replica, error),
    );
  }

  // Start, resume, finish

  /** Whatever goes wrong before the intent is proposed is a refusal: nothing has left. */
  async #startOrRefuse(replica: ShardReplica, program: ProgramRecord, entry: LaneEntry): Promise<void> {
    try {
      await this.#start(replica, program, entry);
    } catch (error) {
      if (error instanceof RedirectSignal || replica.state.programs.call(entry.submit.call)) throw error;
      const { kind, detail } = problemOfError(error);
      const refusal = { kind: kind as ErrorKindName, detail, rule: "the call could not be admitted" };
      await this.#refuse(replica, program, entry, refusal);
    }
  }

  async #start(replica: ShardReplica, program: ProgramRecord, entry: LaneEntry): Promise<void> {
    const { submit } = entry;
    const policy = this.#policyOf(program);
    if (program.endedAtMs !== undefined) {
      const detail = `Program ${program.id} has ended (${program.endReason}).`;
      return this.#refuse(replica, program, entry, {
        kind: "program-ended",
        detail,
        rule: "the program has ended",
      });
    }
    const refusal = checkCall(program, policy, submit.request, this.#parts.context.clock.wallMs());
    if (refusal) return this.#refuse(replica, program, entry, refusal);
    const tokens =
      submit.request.type === "completion" ? worstCaseTokens(program.historyTokens, submit.request) : 0;
    const available = tokens > 0 ? await this.#parts.budgets.ensure(replica, policy, tokens) : 0;
    if (available < tokens)
      return this.#refuse(replica, program, entry, budgetRefusal(policy, tokens, available));
    await this.#intendAndRun(replica, program, entry, policy, tokens);
  }

  async #intendAndRun(
    replica: ShardReplica,
    program: ProgramRecord,
    entry: LaneEntry,
    policy: EffectivePolicy,
    tokens: number,
  ): Promise<void> {
    const command = this.#intentOf(program, entry.submit, policy, tokens);
    const record = recordOf(command);
    let rejected: string | undefined;
    const committed = this.#parts.shards.propose(replica, command).then((result) => {
      if (!result.accepted) rejected = result.reason;
      if (!result.accepted) throw new RedirectSignal(replica.leader?.address);
    });
    committed.catch(() => undefined);
    await this.#carryOut(replica, program, record, policy, entry, committed).catch(async (error) => {
      if (rejected !== "budget-short") throw error;
      await this.#refuse(replica, program, entry, budgetRefusal(policy, tokens, 0));
    });
  }

  /** Goes on with a call whose intent an earlier leader committed. */
  async #resumeOrLeave(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: LaneEntry | undefined,
  ): Promise<void> {
    if (await this.#runsElsewhere(record)) {
      if (entry) this.#send(entry.from, { type: "callRedirected", call: record.id, leader: record.executor });
      else this.#watch(replica, program, record);
      return;
    }
    const open = openCallOf(program);
    if (replica.leads && open?.id === record.id) await this.#resume(replica, program, open, entry);
  }

  /** Whether an earlier leader that still lives carries the call out. It then also commits the end. */
  async #runsElsewhere(record: CallRecord): Promise<boolean> {
    if (record.executor === this.#parts.context.self.address) return false;
    const { id: call, attempt } = record;
    const reply = await this.#parts.rpc.ask(
      record.executor,
      "queryCall",
      { call, attempt },
      QUERY_TIMEOUT_MS,
    );
    return reply.type === "done" && reply.body.running;
  }

  /** Looks again later whether a call that runs elsewhere has ended. */
  #watch(replica: ShardReplica, program: ProgramRecord, record: CallRecord): void {
    const { clock, settings } = this.#parts.context;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      const open = openCallOf(program);
      if (!replica.leads || open?.id !== record.id || this.#active.has(record.id)) return;
      void this.#resumeOrLeave(replica, program, open, undefined);
    });
  }

  async #resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: LaneEntry | undefined,
  ): Promise<void> {
    const lane = this.#laneOf(program.id);
    if (lane.busy || this.#active.has(record.id)) return;
    lane.busy = true;
    this.counters.takenOver += 1;
    try {
      const policy = this.#policyOf(program);
      await this.#carryOut(replica, program, record, policy, entry, Promise.resolve(), true);
    } catch (error) {
      if (entry) this.#onLost(entry, replica, error);
    } finally {
      lane.busy = false;
      this.#pump(replica, program);
    }
  }

  async #carryOut(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    policy: EffectivePolicy,
    entry: LaneEntry | undefined,
    committed: Promise<void>,
    takenOver = false,
  ): Promise<void> {
    const active = new ActiveCall(record.id, entry?.submit.receivedText ?? "", (to, event) =>
      this.#send(to, event),
    );
    this.#active.set(record.id, active);
    if (entry) active.subscribe(entry.from, entry.submit.receivedText);
    try {
      const patienceMs = entry?.submit.patienceMs ?? this.#parts.context.settings.timing.orphanPatienceMs;
      const deadlineMs = this.#nowMs() + patienceMs;
      const job = {
        replica,
        program,
        record,
        policy,
        active,
        deadlineMs,
        committed,
        request: record.request,
      };
      const conclusion = await this.#executeOrFail(job as CallJob, takenOver);
      await this.#finish(replica, active, record.number, conclusion);
    } finally {
      this.#active.delete(record.id);
    }
  }

  /** A fault of ours must not leave the call open: the program's next calls would wait for ever. */
  async #executeOrFail(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    try {
      return await this.#execute(job, takenOver);
    } catch (error) {
      if (error instanceof RedirectSignal) throw error;
      this.#parts.context.log.error(
        { call: job.record.id, err: error },
        "call failed by a fault of the scheduler",
      );
      return this.#concludeFailed(job, problemOfError(error));
    }
  }

  #concludeFailed(job: CallJob, problem: Problem): CallConclusion {
    const { decisions } = this.#parts;
    const decision = decisions.build({
      subject: job.record.id,
      verdict: "placed",
      rule: "the call had been placed before, and could not be finished",
      inputs: decisions.inputsOf(job.program, job.policy),
      attempts: job.record.attempt,
    });
    const chargedTokens = job.record.reservation.tokens;
    return {
      attempt: job.record.attempt,
      outcome: failedWith(problem),
      chargedTokens,
      serviceMs: 0,
      decision,
    };
  }

  async #execute(job: CallJob, takenOver: boolean): Promise<CallConclusion> {
    if (job.request.type === "completion") {
      const attempted = takenOver ? await this.#countAttempt(job) : job;
      if (!attempted)
        return this.#concludeFailed(job, problemOf("budget-exhausted", TAKEOVER_DETAIL, FAILED));
      return this.#parts.completions.run(attempted as CallJob<CompletionRequest>);
    }
    const serviceJob = job as CallJob<ServiceRequest>;
    if (takenOver && !job.record.repeatable) return this.#parts.services.concludeUnknown(serviceJob);
    return this.#parts.services.run(serviceJob);
  }

  /** The earlier leader may have sent the attempt that is recorded, so a new one is committed first. */
  async #countAttempt(job: CallJob): Promise<CallJob | undefined> {
    const attempt = job.record.attempt + 1;
    const atMs = this.#parts.context.clock.wallMs();
    const { reservation } = job.record;
    if (reservation.tokens > 0) await this.#parts.budgets.ensure(job.replica, job.policy, reservation.tokens);
    const executor = this.#parts.context.self.address;
    const command = { type: "retryCall", call: job.record.id, attempt, executor, atMs } as const;
    const result = await this.#parts.shards.propose(job.replica, command);
    if (!result.accepted && result.reason === "budget-short") return undefined;
    if (!result.accepted) throw new RedirectSignal(job.replica.leader?.address);
    return { ...job, record: { ...job.record, attempt } };
  }

  async #finish(
    replica: ShardReplica,
    active: ActiveCall,
    number: number,
    conclusion: CallConclusion,
  ): Promise<void> {
    const command = {
      type: "finishCall",
      call: active.id,
      atMs: this.#parts.context.clock.wallMs(),
    } as const;
    const result = await this.#parts.committer.commit(replica.shard, { ...command, ...conclusion });
    const record = replica.leads ? replica.state.programs.call(active.id) : undefined;
    const final = result.accepted
      ? eventOfOutcome(active.id, number, conclusion.outcome)
      : record && finalEventOf(record);
    if (!final) throw new RedirectSignal(replica.leader?.address);
    if (conclusion.outcome.type === "answered") this.counters.answered += 1;
    else this.counters.failed += 1;
    active.publish(final);
  }

  /** A refusal is committed before it is said, so that "not run" stays true whoever leads later. */
  async #refuse(
    replica: ShardReplica,
    program: ProgramRecord,
    { submit, from }: LaneEntry,
    refusal: AdmissionRefusal,
  ): Promise<void> {
    const { context, decisions, shards } = this.#parts;
    const retryAfterMs = refusal.kind === "budget-exhausted" ? BUDGET_RETRY_AFTER_MS : undefined;
    const problem = problemOf(
      refusal.kind,
      refusal.detail,
      retryAfterMs === undefined ? {} : { retryAfterMs },
    );
    const decision = decisions.build({
      subject: submit.call,
      verdict: "refused",
      rule: refusal.rule,
      inputs: this.#refusalInputs(program, submit.request, refusal),
    });
    const atMs = context.clock.wallMs();
    await shards.propose(replica, {
      type: "refuseCall",
      program: program.id,
      call: submit.call,
      problem,
      decision,
      atMs,
    });
    this.counters.refused += 1;
    const event = this.#settledEvent(replica, program, submit);
    if (event) this.#send(from, event);
  }

  #refusalInputs(program: ProgramRecord, request: CallRequest, refusal: AdmissionRefusal): DecisionInputs {
    const maxTokens = request.type === "completion" ? request.maxTokens : undefined;
    const inputs = this.#parts.decisions.inputsOf(program, this.#parts.configuration.findPolicy(program));
    return { ...inputs, ...refusal.inputs, maxTokens, limit: refusal.limit };
  }

  // Change of leader

  #onLeadershipChanged(replica: ShardReplica): void {
    if (replica.leads) this.#takeOver(replica);
    else this.#letGo(replica);
  }

  /** Sidecars are given some time to say what their callers have seen of the calls under way. */
  #takeOver(replica: ShardReplica): void {
    const { clock, settings } = this.#parts.context;
    const { term } = replica;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      if (!replica.leads || replica.term !== term) return;
      for (const program of replica.state.programs.all()) {
        const open = openCallOf(program);
        if (open && !this.#active.has(open.id)) void this.#resumeOrLeave(replica, program, open, undefined);
      }
    });
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
    this.#send(entry.from, {
      type: "callFailed",
      call: entry.submit.call,
      problem: { ...problem, retryAfterMs },
    });
  }

  // Small helpers

  #settledEvent(replica: ShardReplica, program: ProgramRecord, submit: SubmitCall): CallEvent | undefined {
    const record = replica.state.programs.call(submit.call);
    return (record && finalEventOf(record)) ?? refusalEventOf(program, submit.call);
  }

  /** The same call identifier, made from an idempotency key, with another request. */
  #conflictEvent(replica: ShardReplica, submit: SubmitCall): CallEvent | undefined {
    const record = replica.state.programs.call(submit.call);
    if (!record || record.requestHash === this.#hashOf(submit.request)) return undefined;
    const detail = `The idempotency key of call ${submit.call} was already used with another request.`;
    return { type: "callFailed", call: submit.call, problem: problemOf("call-conflict", detail) };
  }

  #signalLife(): void {
    for (const active of this.#active.values()) active.publish({ type: "callAccepted", call: active.id });
    for (const lane of this.#lanes.values()) {
      for (const { submit, from } of lane.entries())
        this.#send(from, { type: "callAccepted", call: submit.call });
    }
  }

  #intentOf(program: ProgramRecord, submit: SubmitCall, policy: EffectivePolicy, tokens: number): IntendCall {
    return {
      type: "intendCall",
      program: program.id,
      call: submit.call,
      number: submit.number ?? program.nextNumber,
      request: submit.request,
      requestHash: this.#hashOf(submit.request),
      repeatable: mayRepeat(policy, submit.request),
      reservation: { budget: this.#parts.budgets.budgetOf(policy), tokens },
      executor: this.#parts.context.self.address,
      atMs: this.#parts.context.clock.wallMs(),
    };
  }

  #policyOf(program: ProgramRecord): EffectivePolicy {
    return this.#parts.configuration.policyOf(program.tenant, program.template);
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

  #hashOf(request: CallRequest): string {
    return this.#parts.context.hash.hash64(JSON.stringify(request));
  }

  #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}

function strangerEvent(submit: SubmitCall, program: ProgramRecord | undefined): CallEvent {
  const problem = program
    ? problemOf("foreign-program", `Program ${submit.program} does not belong to ${submit.tenant}.`)
    : problemOf("not-found", `There is no program ${submit.program}.`);
  return { type: "callFailed", call: submit.call, problem };
}

/** The call whose intent is committed and whose end is not. */
function openCallOf(program: ProgramRecord): CallRecord | undefined {
  const last = program.calls.at(-1);
  return last && !last.outcome ? last : undefined;
}

function mayRepeat(policy: EffectivePolicy, request: CallRequest): boolean {
  if (request.type === "completion") return true;
  if (request.neverRepeat) return false;
  return isRepeatable(policy.services[request.service], request.method, request.path);
}

function budgetRefusal(policy: EffectivePolicy, tokens: number, available: number): AdmissionRefusal {
  return {
    kind: "budget-exhausted",
    detail: `The call may cost up to ${tokens} tokens, and ${available} are left of ${policy.budget.tokens}.`,
    rule: "the budget must cover the worst case before a call may leave",
    inputs: { reservedTokens: tokens, budgetAvailableTokens: available },
  };
}

/** The record that the committed intent will leave. */
function recordOf(command: IntendCall): CallRecord {
  return {
    id: command.call,
    number: command.number,
    requestHash: command.requestHash,
    request: command.request,
    repeatable: command.repeatable,
    attempt: 1,
    executor: command.executor,
    reservation: command.reservation,
    startedAtMs: command.atMs,
    endedAtMs: undefined,
    outcome: undefined,
    decision: undefined,
  };
}
