/** One try of a call at one runner: what was sent, and what its answer means. */
import type { CallContext } from "../../ports/call-protocol.ts";
import {
  type HttpAnswerHead,
  type HttpExchange,
  type HttpExchangeListener,
  sendRequest,
} from "../../ports/http/http-exchange.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { PendingRequest } from "../../scheduling/runner-board/pending-request.ts";
import type { RequestOutcome } from "../../scheduling/runner-board/request-outcome.ts";
import type { RunnerBoard } from "../../scheduling/runner-board/runner-board.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { BufferLimiter } from "../buffers/buffer-limiter.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import type { PlaceClient } from "../places/place-client.ts";
import type { RunnerConnections } from "../runners/runner-connections.ts";
import type { CallLog } from "../telemetry/call-log.ts";

/** Why a try gave no answer. */
export type AttemptFailure =
  /** No connection: nothing was sent. */
  | { readonly type: "unreachable"; readonly detail: string }
  /** The runner says that it has not run the request and never will. */
  | { readonly type: "notRun"; readonly status: number }
  /** The request may have run, or be running. */
  | { readonly type: "broken"; readonly detail: string };

/** What becomes of a try. After `onEnd` or `onFailed` nothing more comes. */
export interface AttemptListener {
  onHead(head: HttpAnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailed(failure: AttemptFailure): void;
}

/** What all tries of the calls of a gateway share. */
export interface AttemptParts {
  readonly context: GatewayContext;
  readonly board: RunnerBoard;
  readonly connections: RunnerConnections;
  readonly callLog: CallLog;
  readonly places: PlaceClient;
  readonly buffers: BufferLimiter;
}

/** What one try sends. */
export interface AttemptRequest {
  readonly exchange: CallerExchange;
  readonly call: CallContext;
  readonly body: Buffer;
  /** Time that the runner is given, in ms. */
  readonly deadlineMs: number;
  readonly lastEventId: number | undefined;
  /** Whether the answer comes event by event. */
  readonly streaming: boolean;
  /** Silence after which the try speaks against its runner, in ms. */
  readonly patienceMs: number;
  /** Whether a dispatcher has placed it. */
  readonly isLeased: boolean;
  /** Among requests that wait at the runner; undefined where nothing is known of it. */
  readonly urgency: Urgency | undefined;
  /** For whom the request is made; undefined where it needs no key. */
  readonly tenant: TenantName | undefined;
  /** Whether the runner must not see what authorizes the caller. */
  readonly hidesKey: boolean;
  /** The kind of work: its route. */
  readonly work: string;
  /** Whether the runner is believed to hold most of the prompt. */
  readonly isCached: boolean;
}

const MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;
/** Streams of fewer events say little of their runner's pace. */
const MIN_PACED_EVENTS = 3;

/** See the module's comment. */
export class RunnerAttempt implements HttpExchangeListener {
  readonly runner: RunnerEntry;
  readonly #parts: AttemptParts;
  readonly #request: AttemptRequest;
  readonly #listener: AttemptListener;
  readonly #exchange: HttpExchange;
  readonly #pending: PendingRequest;
  /** Requests at the runner when this one came. */
  readonly #load: number;
  #over = false;
  #status = 0;
  #firstByteMs = 0;
  #chunks = 0;
  /** Status of an answer that says that nothing was run; its body is read and dropped. */
  #notRunStatus: number | undefined;

  constructor(parts: AttemptParts, runner: RunnerEntry, request: AttemptRequest, listener: AttemptListener) {
    this.runner = runner;
    this.#parts = parts;
    this.#request = request;
    this.#listener = listener;
    this.#load = parts.board.load(runner.id);
    this.#pending = parts.board.started(runner.id, this.#nowMs, request.patienceMs, request.isLeased);
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

  /** Gives the try up; the runner is told by the end of the connection. */
  abort(): void {
    if (this.#over) return;
    this.#finish("abandoned");
    this.#exchange.abort();
  }

  /** Reads no more of the answer for now. */
  pause(): void {
    if (!this.#over) this.#exchange.pause();
  }

  /** Reads the answer on. */
  resume(): void {
    if (!this.#over) this.#exchange.resume();
  }

  /** Whether nothing of an answer has come. */
  get silent(): boolean {
    return !this.#over && !this.#pending.answered;
  }

  /** Takes the runner's silence for a failure. */
  giveUp(): void {
    if (this.#over) return;
    this.#exchange.abort();
    this.#fail({ type: "broken", detail: "the runner is silent, and fails others too" });
  }

  onHead(head: HttpAnswerHead): boolean {
    const answer = this.#parts.context.platform.calls.describeAnswer(head.status, head.headers);
    if (answer.requestId !== this.#request.call.requestId) {
      this.#fail({ type: "broken", detail: `an answer to ${answer.requestId} came` });
      return false;
    }
    this.#status = head.status;
    this.#pending.answered = true;
    this.#firstByteMs = this.#nowMs;
    if (answer.notRun) this.#notRunStatus = head.status;
    else this.#listener.onHead(head);
    return true;
  }

  onData(chunk: Buffer): void {
    if (this.#notRunStatus !== undefined || this.#over) return;
    this.#chunks += 1;
    this.#listener.onData(chunk);
  }

  onEnd(): void {
    if (this.#notRunStatus !== undefined) {
      this.#fail({ type: "notRun", status: this.#notRunStatus });
      return;
    }
    if (this.#over) return;
    this.#notePace();
    this.#finish(this.#status < FIRST_SERVER_ERROR ? "success" : "failure");
    this.#listener.onEnd();
  }

  onFailed(error: Error, sent: boolean): void {
    if (this.#notRunStatus !== undefined) this.#fail({ type: "notRun", status: this.#notRunStatus });
    else this.#fail({ type: sent ? "broken" : "unreachable", detail: error.message });
  }

  #fail(failure: AttemptFailure): void {
    if (this.#over) return;
    this.#finish(failure.type === "broken" ? "failure" : "abandoned");
    const { board } = this.#parts;
    if (failure.type === "notRun" && failure.status === MISDIRECTED) board.markLeaving(this.runner.id);
    else if (failure.type !== "broken") board.avoid(this.runner.id, this.#nowMs);
    this.#listener.onFailed(failure);
  }

  #finish(outcome: RequestOutcome): void {
    this.#over = true;
    const nowMs = this.#nowMs;
    this.#parts.board.ended(this.#pending, outcome, nowMs);
    this.#parts.context.metrics.recordAttempt(outcome, nowMs - this.#pending.startedAtMs);
  }

  /** Events of a stream come as they are made; another answer is one step. */
  #notePace(): void {
    const { streaming, work, isCached, call } = this.#request;
    if (streaming && this.#chunks < MIN_PACED_EVENTS) return;
    const nowMs = this.#nowMs;
    const { startedAtMs } = this.#pending;
    const timing = {
      work,
      steps: streaming ? this.#chunks : 1,
      workMs: nowMs - (streaming ? this.#firstByteMs : startedAtMs),
      firstMs: this.#firstByteMs - startedAtMs,
      promptTokens: call.promptTokens,
      wasCached: isCached,
      load: this.#load,
    };
    this.#parts.board.timed(this.runner.id, timing, nowMs);
  }

  get #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}
