import type { IncomingHttpHeaders } from "node:http";
import type { KeyDigest } from "../scheduling/ids/key-digest.ts";
import type { ProgramId } from "../scheduling/ids/program-id.ts";
import type { RequestId } from "../scheduling/ids/request-id.ts";
import type { RunnerName } from "../scheduling/ids/runner-name.ts";
import type { TenantName } from "../scheduling/ids/tenant-name.ts";
import type { Urgency } from "../scheduling/urgency/urgency.ts";

/** Information about a program that it sends with each of its requests. */
export interface ProgramContext {
  readonly id: ProgramId;
  /** Identifies one sequence of turns within the program. */
  readonly session: string | undefined;
  /** Time left until the program should end, in ms. */
  readonly deadlineMs: number | undefined;
  /** Maximum number of tokens that all turns of the program together may generate. */
  readonly tokenBudget: number | undefined;
  /** The request whose answer this turn continues from. */
  readonly previousTurn: RequestId | undefined;
}

/** Information that a caller's request carries in its headers. */
export interface CallContext {
  readonly requestId: RequestId;
  /** How long the caller will wait, in ms. */
  readonly deadlineMs: number | undefined;
  /** Identifier of the last event that the caller has received; earlier events need not be sent again. */
  readonly lastEventId: number | undefined;
  /** The request that brought the first event of the stream which the caller takes up; undefined for a new one. */
  readonly resumes: RequestId | undefined;
  /** Requests for the same object share this value. */
  readonly affinityKey: string | undefined;
  readonly program: ProgramContext | undefined;
  readonly model: string | undefined;
  readonly promptTokens: number | undefined;
  /** Maximum number of tokens that the request may generate. */
  readonly maxGeneratedTokens: number | undefined;
  /** Digest of the key that the caller sends. */
  readonly key: KeyDigest | undefined;
}

/** Information that the system adds to a request before it forwards it to a runner. */
export interface RunnerRequestContext {
  /** Time left for the runner, in ms. */
  readonly deadlineMs: number;
  /** Only this runner may run the request. */
  readonly expectedRunner: RunnerName;
  /**
   * The runner continues after this event; undefined for a run from the start, even if the caller sent a last event.
   */
  readonly lastEventId: number | undefined;
  /** Urgency among the requests that wait at the runner; undefined if unknown. */
  readonly urgency: Urgency | undefined;
  /** Tenant of the request; undefined if requests need no key. */
  readonly tenant: TenantName | undefined;
  /**
   * Whether callers authenticate with a key of this system. The key must then be removed before the request is
   * forwarded.
   */
  readonly hidesKey: boolean;
}

/** Information that a runner's answer carries. */
export interface RunnerAnswerContext {
  /** Identifier of the request that was answered. */
  readonly requestId: string | undefined;
  /** Whether the runner reports that it has not run the request and will not run it later. */
  readonly notRun: boolean;
}

/** Raw headers as Node.js provides them: alternating names and values. */
export type RawHeaders = readonly string[];

/** Converts between the headers of callers and runners and the types of this module. */
export interface CallProtocol {
  /** Parses the headers of a caller's request. Returns undefined when the request has no valid identifier. */
  parseCall(headers: IncomingHttpHeaders): CallContext | undefined;
  /**
   * Returns the headers to forward to a runner: the caller's without those of the connection, plus those of the
   * context.
   */
  headersForRunner(headers: RawHeaders, context: RunnerRequestContext): string[];
  parseAnswer(status: number, headers: IncomingHttpHeaders): RunnerAnswerContext;
  /** Returns the runner's headers to send back to the caller, without those of the connection. */
  headersForCaller(headers: RawHeaders): string[];
}

/** A caller's query to the directory of addresses. */
export interface DirectoryQuery {
  readonly region: string | undefined;
  readonly zone: string | undefined;
}

/**
 * The protocol of requests about the system itself: readiness checks, and queries for the addresses callers should
 * use.
 */
export interface EntryProtocol {
  isReadinessCheck(method: string, url: string): boolean;
  /** Returns undefined when the request is not a directory query. */
  parseDirectoryQuery(method: string, url: string): DirectoryQuery | undefined;
  /** Returns the directory's answer as JSON text. */
  directoryAnswer(addresses: readonly string[], ttlSeconds: number): string;
}
