import { errorOfProblem, problemOf, problemOfError, requestError } from "../../errors/tulipwheel-error.ts";
import type {
  DecisionView,
  EndProgramRequest,
  FindGoneRequest,
  FindGoneResponse,
  OpenProgramRequest,
  ProgramView,
  ReadDecisionRequest,
} from "../../messages/rpc-messages.ts";
import { repeat } from "../../runtime/clock.ts";
import { RedirectSignal, type RpcEndpoint } from "../../runtime/rpc.ts";
import { checkProgram } from "../../scheduling/admission/check-call.ts";
import type { DecisionInputs } from "../../scheduling/decision/decision.ts";
import type { EffectivePolicy } from "../../scheduling/policy/effective-policy.ts";
import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import { programOfCall } from "../../scheduling/program/program-id.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { DecisionBuilder } from "../calls/decision-builder.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";

/** Interval between sweeps for programs that are abandoned or can be deleted, in ms. */
const SWEEP_INTERVAL_MS = 5_000;
const RETRY_AFTER_MS = 1_000;

/** Opens, ends, reads and deletes the programs of the shards that this node leads. */
export class ProgramService {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #configuration: ConfigurationService;
  readonly #decisions: DecisionBuilder;
  readonly #directory: RunnerDirectory;
  #stopSweep: () => void = () => undefined;
  #admitting = true;

  constructor(
    context: NodeContext,
    shards: ShardHost,
    configuration: ConfigurationService,
    decisions: DecisionBuilder,
    directory: RunnerDirectory,
    rpc: RpcEndpoint,
  ) {
    this.#context = context;
    this.#shards = shards;
    this.#configuration = configuration;
    this.#decisions = decisions;
    this.#directory = directory;
    rpc.handle("openProgram", (request) => this.#open(request));
    rpc.handle("endProgram", (request) => this.#end(request));
    rpc.handle("readProgram", async ({ program, tenant }) => ({
      program: this.#requireOwned(program, tenant).program,
    }));
    rpc.handle("readDecision", async (request) => this.#readDecision(request));
    rpc.handle("findGone", async (request) => this.#findGone(request));
  }

  /** Starts the sweeps for programs that are abandoned or can be deleted. */
  start(): void {
    this.#stopSweep = repeat(
      this.#context.clock,
      SWEEP_INTERVAL_MS,
      () => void this.#sweep().catch(() => undefined),
    );
  }

  /** Stops the sweeps. */
  stop(): void {
    this.#stopSweep();
  }

  /** Redirects new programs from now on. */
  stopAdmitting(): void {
    this.#admitting = false;
  }

  async #open(request: OpenProgramRequest): Promise<ProgramView> {
    const replica = this.#shards.ledReplica(this.#shards.shardOfProgram(request.program));
    if (!this.#configuration.ready || !this.#admitting) throw new RedirectSignal(undefined);
    const existing = replica.state.programs.get(request.program);
    if (existing) return { program: existing };
    const parent = request.parent && this.#requireOwned(request.parent.program, request.tenant).program;
    const refusal = await this.#refuseIfNeeded(replica, request, parent);
    if (refusal) throw refusal;
    const policy = this.#configuration.policyOf(request.tenant, request.template);
    const atMs = this.#context.clock.wallMs();
    const deadlineMs = request.deadlineMs ?? policy.deadlineMs;
    const inputs = programInputs(request, policy, deadlineMs);
    const decision = this.#decisions.build({
      subject: request.program,
      verdict: "placed",
      rule: "the template's limits leave room for the program",
      inputs,
    });
    await this.#shards.propose(replica, {
      type: "openProgram",
      program: request.program,
      tenant: request.tenant,
      template: request.template,
      parent: request.parent,
      deadlineAtMs: deadlineMs === undefined ? undefined : atMs + deadlineMs,
      decision,
      atMs,
    });
    const program = replica.state.programs.get(request.program);
    if (program) return { program };
    throw requestError("program-ended", `The parent of ${request.program} has ended.`);
  }

  /** Checks whether the program must be refused. Commits the refusal, so that operators can read its decision later. */
  async #refuseIfNeeded(
    replica: ShardReplica,
    request: OpenProgramRequest,
    parent: ProgramRecord | undefined,
  ) {
    const refused = replica.state.programs.refused(request.program);
    if (refused) return errorOfProblem(refused.problem);
    const problem = this.#findOpenProblem(replica, request, parent);
    if (!problem) return undefined;
    const inputs = programInputs(request, this.#configuration.findPolicy(request), request.deadlineMs);
    const decision = this.#decisions.build({
      subject: request.program,
      verdict: "refused",
      rule: problem.title,
      inputs,
    });
    const { program, tenant } = request;
    await this.#shards.propose(replica, { type: "refuseProgram", program, tenant, problem, decision });
    return errorOfProblem(problem);
  }

  #findOpenProblem(replica: ShardReplica, request: OpenProgramRequest, parent: ProgramRecord | undefined) {
    try {
      const policy = this.#configuration.policyOf(request.tenant, request.template);
      const open = this.#countOpenPrograms(replica, request);
      const refusal = checkProgram(policy, parent ? parent.depth + 1 : 0, open);
      if (!refusal) return undefined;
      const retryAfterMs = refusal.limit?.name === "openPrograms" ? { retryAfterMs: RETRY_AFTER_MS } : {};
      return problemOf(refusal.kind, refusal.detail, retryAfterMs);
    } catch (error) {
      return problemOfError(error);
    }
  }

  #countOpenPrograms(replica: ShardReplica, { tenant, template }: OpenProgramRequest): number {
    let open = 0;
    for (const program of replica.state.programs.all()) {
      if (program.endedAtMs === undefined && program.tenant === tenant && program.template === template)
        open += 1;
    }
    return open;
  }

  async #end({ program: id, tenant, reason }: EndProgramRequest): Promise<ProgramView> {
    const { replica, program } = this.#requireOwned(id, tenant);
    if (program.endedAtMs === undefined) await this.#commitEnd(replica, program, reason);
    return { program };
  }

  async #commitEnd(
    replica: ShardReplica,
    program: ProgramRecord,
    reason: EndProgramRequest["reason"],
  ): Promise<void> {
    const atMs = this.#context.clock.wallMs();
    await this.#shards.propose(replica, { type: "endProgram", program: program.id, reason, atMs });
    for (const runner of runnersOf(program)) {
      const home = this.#directory.views().find((view) => view.runner === runner)?.home;
      if (home) this.#context.transport.send(home, { type: "releaseProgram", runner, program: program.id });
    }
  }

  #requireOwned(id: string, tenant: string | undefined): { replica: ShardReplica; program: ProgramRecord } {
    const replica = this.#shards.ledReplica(this.#shards.shardOfProgram(id));
    const program = replica.state.programs.get(id);
    if (!program) throw requestError("not-found", `There is no program ${id}.`);
    if (tenant !== undefined && program.tenant !== tenant) {
      throw requestError("foreign-program", `Program ${id} does not belong to ${tenant}.`);
    }
    return { replica, program };
  }

  #readDecision({ subject, tenant }: ReadDecisionRequest): DecisionView {
    const replica = this.#shards.ledReplica(this.#shards.shardOfProgram(programOfCall(subject)));
    const refusedProgram = replica.state.programs.refused(subject);
    if (refusedProgram && (tenant === undefined || tenant === refusedProgram.tenant)) {
      return { decision: refusedProgram.decision, state: "refused", problem: refusedProgram.problem };
    }
    const { program } = this.#requireOwned(programOfCall(subject), tenant);
    if (subject === program.id) {
      const state = program.endedAtMs === undefined ? "open" : "ended";
      return { decision: program.decision, state, problem: undefined };
    }
    return this.#readCallDecision(program, subject);
  }

  #readCallDecision(program: ProgramRecord, subject: string): DecisionView {
    const refusal = program.refusals.find((record) => record.id === subject);
    if (refusal) return { decision: refusal.decision, state: "refused", problem: refusal.problem };
    const call = program.calls.find((record) => record.id === subject);
    if (!call) throw requestError("not-found", `Program ${program.id} has no call ${subject}.`);
    const decision = call.decision ?? this.#pendingDecision(program, call);
    if (call.outcome?.type === "failed") return { decision, state: "failed", problem: call.outcome.problem };
    return { decision, state: call.outcome ? "answered" : "running", problem: undefined };
  }

  #pendingDecision(program: ProgramRecord, call: CallRecord) {
    return this.#decisions.build({
      subject: call.id,
      verdict: "waited",
      rule: "under way: the decision is written down with the outcome",
      inputs: this.#decisions.inputsOf(program, this.#configuration.findPolicy(program)),
      waitedMs: this.#context.clock.wallMs() - call.startedAtMs,
      attempts: call.attempt,
    });
  }

  #findGone({ programs }: FindGoneRequest): FindGoneResponse {
    const gone = programs.filter((id) => {
      const replica = this.#shards.ledReplica(this.#shards.shardOfProgram(id));
      const program = replica.state.programs.get(id);
      return !program || program.endedAtMs !== undefined || this.#isIdleTooLong(program);
    });
    return { gone };
  }

  /** Whether a program has been idle for longer than its template keeps the cache. */
  #isIdleTooLong(program: ProgramRecord): boolean {
    const policy = this.#configuration.findPolicy(program);
    if (!policy || openCallOf(program)) return false;
    return this.#context.clock.wallMs() - program.lastActiveAtMs > policy.cacheKeepMs;
  }

  async #sweep(): Promise<void> {
    for (const replica of this.#shards.all()) {
      if (replica.leads) await this.#sweepShard(replica);
    }
  }

  async #sweepShard(replica: ShardReplica): Promise<void> {
    const nowMs = this.#context.clock.wallMs();
    const { endedProgramsMs, idleProgramsMs } = this.#context.settings.retention;
    const programs = [...replica.state.programs.all()];
    const expired = programs.filter(
      ({ endedAtMs }) => endedAtMs !== undefined && nowMs - endedAtMs > endedProgramsMs,
    );
    if (expired.length > 0) {
      const ids = expired.map((program) => program.id);
      await this.#shards.propose(replica, { type: "forgetPrograms", programs: ids });
    }
    const idle = programs.filter(
      (program) => program.endedAtMs === undefined && nowMs - program.lastActiveAtMs > idleProgramsMs,
    );
    for (const program of idle) await this.#commitEnd(replica, program, "abandoned");
  }
}

function programInputs(
  request: OpenProgramRequest,
  policy: EffectivePolicy | undefined,
  slackMs: number | undefined,
): DecisionInputs {
  return {
    tenant: request.tenant,
    template: request.template,
    priorityClass: policy?.priorityClass ?? "unknown",
    slackMs,
  };
}

function runnersOf(program: ProgramRecord): Set<string> {
  const runners = new Set<string>();
  for (const { outcome } of program.calls) {
    if (outcome?.type === "answered" && outcome.answer.type === "completion")
      runners.add(outcome.answer.runner);
  }
  return runners;
}
