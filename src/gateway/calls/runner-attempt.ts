/** One attempt of a call at one runner: sends the request, and interprets the answer. */

import type { CallContext } from "../../ports/call-protocol.ts";
import { AnswerLimitError } from "../../ports/http/answer-limit-error.ts";
import type { BodyFraming } from "../../ports/http/body-framing.ts";
import {
  type HttpAnswerHead,
  type HttpExchange,
  type HttpExchangeListener,
  sendRequest,
} from "../../ports/http/http-exchange.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { ConnectionEnds } from "../../scheduling/runner-balancing/connection-ends.ts";
import type { PendingRequest } from "../../scheduling/runner-balancing/pending-request.ts";
import type { RequestOutcome } from "../../scheduling/runner-balancing/request-outcome.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { BufferLimiter } from "../buffers/buffer-limiter.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import type { PlaceClient } from "../places/place-client.ts";
import type { PlannedStop } from "../planned-stop.ts";
import type { PoisonGuard } from "../poison-requests/poison-guard.ts";
import type { RunnerConnections } from "../runners/runner-connections.ts";
import type { RunnerVersions } from "../runners/runner-versions.ts";
import type { StreamOrigins } from "../streams/stream-origins.ts";
import type { CallLog } from "../telemetry/call-log.ts";
import { AnswerDrain } from "./answer-drain.ts";

/** Why an attempt got no answer. */
export type AttemptFailure =
  /** There was no connection, so nothing was sent. */
  | { readonly type: "unreachable"; readonly detail: string }
  /** The runner states that it has not run the request and never will. */
  | { readonly type: "notRun"; readonly status: number }
  /** The request may have run, or be running. */
  | {
      readonly type: "broken";
      readonly detail: string;
      /** Whether the runner sent more than an answer may have. It is likely to do so again. */
      readonly exceedsLimit: boolean;
    };

/** Receives the answer to an attempt. Nothing is called after `onEnd` or `onFailed`. */
export interface AttemptListener {
  onHead(head: HttpAnswerHead): void;
  onData(chunk: Buffer): void;
  /** Why the answer, which has just ended, can't be whole; undefined if nothing shows that. */
  findDefect(): string | undefined;
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** The dependencies that all calls of a gateway and their attempts share. */
export interface AttemptParts {
  readonly context: GatewayContext;
  readonly board: RunnerBalancer;
  readonly connections: RunnerConnections;
  readonly callLog: CallLog;
  readonly places: PlaceClient;
  readonly buffers: BufferLimiter;
  readonly versions: RunnerVersions;
  readonly streams: StreamOrigins;
  readonly connectionEnds: ConnectionEnds;
  readonly guard: PoisonGuard;
  readonly plannedStop: PlannedStop;
}

/** What an attempt sends, and what is known about it. */
export interface AttemptRequest {
  readonly exchange: CallerExchange;
  readonly call: CallContext;
  readonly body: Buffer;
  /** Time limit for the runner, in ms. */
  readonly deadlineMs: number;
  readonly lastEventId: number | undefined;
  /** Whether the answer is a stream of events. */
  readonly streaming: boolean;
  /** Time without an answer after which the attempt counts against its runner, in ms. */
  readonly silenceTimeoutMs: number;
  /** Whether a dispatcher granted a place for it. */
  readonly isLeased: boolean;
  /** The urgency among the requests that wait at the runner; undefined if unknown. */
  readonly urgency: Urgency | undefined;
  /** The tenant of the request; undefined if the route needs no key. */
  readonly tenant: TenantName | undefined;
  /** Whether the caller's key must be hidden from the runner. */
  readonly hidesKey: boolean;
  /** The kind of work, as which its duration is recorded: the name of its route. */
  readonly work: string;
  /** Whether the runner is expected to hold most of the prompt. */
  readonly isCached: boolean;
}

const MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;
/** Minimum number of events for a stream's timing to be recorded: fewer say little about the runner's speed. */
const MIN_TIMED_EVENTS = 3;

export class RunnerAttempt implements HttpExchangeListener {
  readonly runner: RunnerEntry;
  readonly #parts: AttemptParts;
  readonly #request: AttemptRequest;
  readonly #listener: AttemptListener;
  readonly #exchange: HttpExchange;
  readonly #pending: PendingRequest;
  /** Requests at the runner when this one was sent. */
  readonly #load: number;
  #isOver = false;
  #status = 0;
  #framing: BodyFraming = "connection";
  #firstByteMs = 0;
  #chunkCount = 0;
  /** Reads on behind the head of an answer which states that the request was not run. */
  #drain: AnswerDrain | undefined;

  constructor(parts: AttemptParts, runner: RunnerEntry, request: AttemptRequest, listener: AttemptListener) {
    this.runner = runner;
    this.#parts = parts;
    this.#request = request;
    this.#listener = listener;
    this.#load = parts.board.load(runner.id);
    this.#pending = parts.board.recordStart(
      runner.id,
      this.#nowMs,
      request.silenceTimeoutMs,
      request.isLeased,
    );
    const { exchange, body, deadlineMs, lastEventId, urgency, tenant, hidesKey } = request;
    const headers = parts.context.platform.calls.headersForRunner(exchange.rawHeaders, {
      deadlineMs,
      expectedRunner: runner.name,
      lastEventId,
      urgency,
      tenant,
      hidesKey,
    });
    this.#exchange = sendRequest(
      parts.connections.pool(runner),
      { method: exchange.method, path: exchange.target, headers, body },
      this,
    );
  }

  /** Abandons the attempt; the runner learns of it by the end of the connection. */
  abort(): void {
    if (this.#isOver) return;
    this.#finish("abandoned");
    this.#exchange.abort();
  }

  /** Stops reading the answer until `resume` is called. */
  pause(): void {
    if (!this.#isOver) this.#exchange.pause();
  }

  /** Continues to read the answer. */
  resume(): void {
    if (!this.#isOver) this.#exchange.resume();
  }

  /** Whether the runner may still be at work on the attempt. */
  get inProgress(): boolean {
    return !this.#isOver;
  }

  /** Whether no part of an answer has arrived. */
  get silent(): boolean {
    return !this.#isOver && !this.#pending.answered;
  }

  /** Fails the attempt because of the runner's silence. */
  failAsSilent(): void {
    if (this.#isOver) return;
    this.#exchange.abort();
    this.#fail(broken("the runner is silent, and fails others too"));
  }

  /** Fails the attempt because its answer is larger than an answer may be. */
  failAsExcessive(detail: string): void {
    if (this.#isOver) return;
    this.#exchange.abort();
    this.#fail({ type: "broken", detail, exceedsLimit: true });
  }

  onHead(head: HttpAnswerHead): boolean {
    const answer = this.#parts.context.platform.calls.parseAnswer(head.status, head.headers);
    if (answer.requestId !== this.#request.call.requestId) {
      this.#fail(broken(`an answer to ${answer.requestId} came`));
      return false;
    }
    this.#status = head.status;
    this.#framing = head.framing;
    this.#pending.answered = true;
    this.#firstByteMs = this.#nowMs;
    if (answer.notRun) {
      this.#drain = new AnswerDrain(this.#parts.context.clock, this.#exchange);
      this.#fail({ type: "notRun", status: head.status });
      return true;
    }
    this.#listener.onHead(head);
    return true;
  }

  onData(chunk: Buffer): void {
    this.#drain?.read(chunk.length);
    if (this.#isOver) return;
    this.#chunkCount += 1;
    this.#listener.onData(chunk);
  }

  onEnd(): void {
    this.#drain?.finish();
    if (this.#isOver) return;
    const defect = this.#listener.findDefect();
    if (defect !== undefined) {
      this.#fail(broken(defect));
      return;
    }
    this.#parts.context.metrics.recordAnswerEnd(this.#framing, "ended");
    this.#recordTiming();
    this.#finish(this.#status < FIRST_SERVER_ERROR ? "success" : "failure");
    this.#listener.onEnd();
  }

  onFailed(error: Error, sent: boolean): void {
    this.#drain?.finish();
    const exceedsLimit = error instanceof AnswerLimitError;
    const detail = error.message;
    this.#fail(sent ? { type: "broken", detail, exceedsLimit } : { type: "unreachable", detail });
  }

  #fail(failure: AttemptFailure): void {
    if (this.#isOver) return;
    if (failure.type === "broken" && this.#pending.answered)
      this.#parts.context.metrics.recordAnswerEnd(this.#framing, "broken");
    this.#finish(failure.type === "broken" ? "failure" : "abandoned");
    const { board } = this.#parts;
    if (failure.type === "notRun" && failure.status === MISDIRECTED) board.markLeaving(this.runner.id);
    else if (failure.type !== "broken") board.avoid(this.runner.id, this.#nowMs);
    this.#listener.onFailed(failure);
  }

  #finish(outcome: RequestOutcome): void {
    this.#isOver = true;
    const nowMs = this.#nowMs;
    this.#parts.board.recordEnd(this.#pending, outcome, nowMs);
    this.#parts.context.metrics.recordAttempt(outcome, nowMs - this.#pending.startedAtMs);
  }

  /** Records how long the runner took. Events of a stream arrive as they are made; any other answer counts as one step. */
  #recordTiming(): void {
    const { streaming, work, isCached, call } = this.#request;
    if (streaming && this.#chunkCount < MIN_TIMED_EVENTS) return;
    if (!streaming && this.#mayBeShort) return;
    const nowMs = this.#nowMs;
    const { startedAtMs } = this.#pending;
    const timing = {
      work,
      steps: streaming ? this.#chunkCount : 1,
      workMs: nowMs - (streaming ? this.#firstByteMs : startedAtMs),
      firstChunkMs: this.#firstByteMs - startedAtMs,
      promptTokens: call.promptTokens,
      wasCached: isCached,
      load: this.#load,
    };
    this.#parts.board.recordTiming(this.runner.id, timing, nowMs);
  }

  /** Whether the answer may be a part only, whose time says nothing about the runner. */
  get #mayBeShort(): boolean {
    return this.#framing === "connection" && !this.#parts.connectionEnds.areUsual(this.runner.pool);
  }

  get #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}

function broken(detail: string): AttemptFailure {
  return { type: "broken", detail, exceedsLimit: false };
}
