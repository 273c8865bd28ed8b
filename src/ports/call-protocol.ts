import type { IncomingHttpHeaders } from "node:http";
import type { KeyDigest } from "../scheduling/ids/key-digest.ts";
import type { ProgramId } from "../scheduling/ids/program-id.ts";
import type { RequestId } from "../scheduling/ids/request-id.ts";
import type { RunnerName } from "../scheduling/ids/runner-name.ts";
import type { TenantName } from "../scheduling/ids/tenant-name.ts";
import type { Urgency } from "../scheduling/urgency/urgency.ts";

/** What a program says of itself with each of its requests. */
export interface ProgramContext {
  readonly id: ProgramId;
  /** One line of turns of the program. */
  readonly session: string | undefined;
  /** Time that is left until the program should be over, in ms. */
  readonly deadlineMs: number | undefined;
  /** Tokens that all turns of the program may generate. */
  readonly tokenBudget: number | undefined;
  /** The request whose answer this turn goes on from. */
  readonly previousTurn: RequestId | undefined;
}

/** What a caller's request says of itself. */
export interface CallContext {
  readonly requestId: RequestId;
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined;
  /** Events up to this one need not be sent again. */
  readonly lastEventId: number | undefined;
  /** Requests about the same object share this value. */
  readonly affinityKey: string | undefined;
  readonly program: ProgramContext | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number | undefined;
  /** The most tokens that the request may generate. */
  readonly maxGeneratedTokens: number | undefined;
  /** Of the key that the caller shows. */
  readonly key: KeyDigest | undefined;
}

/** What the system adds to a request on its way to a runner. */
export interface RunnerRequestContext {
  /** Time that is left for the runner, in ms. */
  readonly deadlineMs: number;
  /** Only this runner may run the request. */
  readonly expectedRunner: RunnerName;
  /** The runner goes on after this event; undefined for a run from the start, whatever the caller said. */
  readonly lastEventId: number | undefined;
  /** Among requests that wait at the runner; undefined where nothing is known of it. */
  readonly urgency: Urgency | undefined;
  /** Undefined where the request needs no key. */
  readonly tenant: TenantName | undefined;
  /** Whether what authorizes callers is a key of this system, which is nobody else's business. */
  readonly hidesKey: boolean;
}

/** What a runner's answer says of itself. */
export interface RunnerAnswerContext {
  /** The request that it answers. */
  readonly requestId: string | undefined;
  /** The runner says that it has not run the request and never will. */
  readonly notRun: boolean;
}

/** Headers as Node.js gives them raw: names and values in turn. */
export type RawHeaders = readonly string[];

/** The names that callers and runners use on the wire. */
export interface CallProtocol {
  /** Undefined when the request has no usable identifier. */
  parseCall(headers: IncomingHttpHeaders): CallContext | undefined;
  /** The caller's headers as they go on to a runner: those of one connection left out, ours set. */
  headersForRunner(headers: RawHeaders, context: RunnerRequestContext): string[];
  parseAnswer(status: number, headers: IncomingHttpHeaders): RunnerAnswerContext;
  /** The runner's headers as they go back to the caller. */
  headersForCaller(headers: RawHeaders): string[];
}

/** What a caller who asks the directory says. */
export interface DirectoryQuery {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/** The questions about the system itself: whether a node is ready, and which addresses callers should use. */
export interface EntryProtocol {
  isReadinessCheck(method: string, url: string): boolean;
  /** Undefined when the request is no question for the directory. */
  parseDirectoryQuery(method: string, url: string): DirectoryQuery | undefined;
  /** The directory's answer, as JSON text. */
  directoryAnswer(addresses: readonly string[], ttlSeconds: number): string;
}
