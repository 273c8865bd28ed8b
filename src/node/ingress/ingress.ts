/**
 * The node's interface for callers, without HTTP: opens programs, makes calls and reads state, on whichever node leads
 * the program's shard. The simulation uses this class directly.
 */
import { requestError } from "../../errors/tulipwheel-error.ts";
import type { CallEvent } from "../../messages/call-messages.ts";
import type { DecisionView, RpcName, RpcSchema } from "../../messages/rpc-messages.ts";
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random-source.ts";
import type { ShardRouter } from "../../runtime/shard-router.ts";
import type { TextHash } from "../../runtime/text-hash.ts";
import type { Transport } from "../../runtime/transport.ts";
import {
  callId,
  childProgramId,
  isCallId,
  isProgramId,
  programOfCall,
  rootOfProgram,
  rootProgramId,
} from "../../scheduling/program/program-id.ts";
import type { CallRequest, ForkPoint, ProgramRecord } from "../../scheduling/program/records.ts";
import type { IngressSettings } from "../../settings/ingress-settings.ts";
import { CallSession, type CallSessionState } from "./call-session.ts";

/** The dependencies of an ingress. */
export interface IngressPorts {
  readonly settings: IngressSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: TextHash;
  readonly transport: Pick<Transport, "send">;
  readonly router: ShardRouter;
  /** Number of shards that programs are distributed over. */
  readonly shardCount: number;
}

/** The parameters of a program to open. */
export interface OpenProgramParameters {
  readonly tenant: string;
  readonly template: string;
  readonly parent: ForkPoint | undefined;
  readonly deadlineMs: number | undefined;
}

/** The parameters of a call to make. */
export interface MakeCallParameters {
  readonly tenant: string;
  readonly program: string;
  readonly number: number | undefined;
  /** Calls of a program with the same key are the same call. */
  readonly idempotencyKey: string | undefined;
  readonly request: CallRequest;
  readonly patienceMs: number | undefined;
  /** Whether `onText` receives the answer's text as it arrives. */
  readonly streamed: boolean;
}

const ROOT_TOKEN_LENGTH = 16;
const CHILD_TOKEN_LENGTH = 6;
const CALL_TOKEN_LENGTH = 12;

/** Forwards callers' requests to the leaders of the programs' shards. */
export class Ingress {
  readonly #ports: IngressPorts;
  readonly #sessions = new Map<string, Set<CallSession>>();

  constructor(ports: IngressPorts) {
    this.#ports = ports;
  }

  /** Number of calls in progress. */
  get activeCalls(): number {
    return this.#sessions.size;
  }

  /** Returns, for the log, the calls that have been without text for at least `minIdleMs`. */
  idleCalls(minIdleMs: number): CallSessionState[] {
    return [...this.#sessions.values()]
      .flatMap((sessions) => [...sessions])
      .map((session) => session.state)
      .filter((state) => state.idleMs >= minIdleMs);
  }

  /** Passes an event from a leader to the sessions of its call. */
  onCallEvent(event: CallEvent, from: string): void {
    for (const session of [...(this.#sessions.get(event.call) ?? [])]) session.onEvent(event, from);
  }

  /** Opens a program. */
  async openProgram({ tenant, template, parent, deadlineMs }: OpenProgramParameters): Promise<ProgramRecord> {
    if (parent) requireProgramId(parent.program);
    const token = this.#ports.random.token(parent ? CHILD_TOKEN_LENGTH : ROOT_TOKEN_LENGTH);
    const program = parent ? childProgramId(parent.program, token) : rootProgramId(token);
    const body = { program, tenant, template, parent, deadlineMs };
    return (await this.#askLeader(program, "openProgram", body)).program;
  }

  /** Ends a program. */
  async endProgram(program: string, tenant: string): Promise<ProgramRecord> {
    const body = { program, tenant, reason: "completed" } as const;
    return (await this.#askLeader(program, "endProgram", body)).program;
  }

  /** Reads a program with its history. */
  async readProgram(program: string, tenant: string): Promise<ProgramRecord> {
    return (await this.#askLeader(program, "readProgram", { program, tenant })).program;
  }

  /** Reads the decision about a call or a program. */
  async readDecision(subject: string, tenant: string): Promise<DecisionView> {
    if (!isCallId(subject) && !isProgramId(subject)) throw invalidIdentifierError(subject);
    return this.#askLeader(programOfCall(subject), "readDecision", { subject, tenant });
  }

  /** Makes a call. Passes the parts of its text to `onText`; the session's `result` resolves when the call ends. */
  async makeCall(parameters: MakeCallParameters, onText: (text: string) => void): Promise<CallSession> {
    const { program, tenant, number, request, idempotencyKey, streamed } = parameters;
    requireProgramId(program);
    const shard = this.#shardOf(program);
    const call = callId(program, this.#callToken(idempotencyKey));
    const patienceMs = parameters.patienceMs ?? this.#ports.settings.timing.callPatienceMs;
    const session = new CallSession(
      this.#ports,
      { program, call, tenant, shard, number, request, patienceMs, streamed },
      onText,
    );
    this.#trackSession(session);
    session.start();
    return session;
  }

  #callToken(idempotencyKey: string | undefined): string {
    const { random, hash } = this.#ports;
    if (idempotencyKey === undefined) return random.token(CALL_TOKEN_LENGTH);
    return `k${hash.hash64(idempotencyKey)}${hash.hash64(`${idempotencyKey}|`)}`;
  }

  #trackSession(session: CallSession): void {
    const sessions = this.#sessions.get(session.call) ?? new Set();
    sessions.add(session);
    this.#sessions.set(session.call, sessions);
    void session.result.then(() => {
      sessions.delete(session);
      if (sessions.size === 0) this.#sessions.delete(session.call);
    });
  }

  async #askLeader<Name extends RpcName>(
    program: string,
    name: Name,
    body: RpcSchema[Name]["request"],
  ): Promise<RpcSchema[Name]["response"]> {
    requireProgramId(program);
    const { router, settings } = this.#ports;
    return router.ask(this.#shardOf(program), name, body, settings.timing.unavailableAfterMs);
  }

  #shardOf(program: string): number {
    return this.#ports.hash.hash32(rootOfProgram(program)) % this.#ports.shardCount;
  }
}

function requireProgramId(program: string): void {
  if (!isProgramId(program)) throw invalidIdentifierError(program);
}

function invalidIdentifierError(text: string) {
  return requestError("invalid-request", `"${text.slice(0, 80)}" is not an identifier of a program or call.`);
}
