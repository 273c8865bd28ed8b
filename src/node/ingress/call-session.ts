import type { Problem } from "../../errors/problem.ts";
import { problemOf } from "../../errors/tulipwheel-error.ts";
import type { CallChunk, CallEvent, CallFinished } from "../../messages/call-messages.ts";
import type { Clock, TimerHandle } from "../../runtime/clock.ts";
import type { ShardRouter } from "../../runtime/shard-router.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { CallAnswer, CallRequest } from "../../scheduling/program/records.ts";
import type { IngressSettings } from "../../settings/ingress-settings.ts";

/** The parameters of a call session. */
export interface CallParameters {
  readonly program: string;
  readonly call: string;
  readonly tenant: string;
  readonly shard: number;
  readonly number: number | undefined;
  readonly request: CallRequest;
  readonly patienceMs: number;
  /** Whether the caller receives the answer's text as it arrives; otherwise only the whole, committed answer. */
  readonly streamed: boolean;
}

/** The result of a call as the caller receives it. */
export type CallResult =
  | { readonly type: "answered"; readonly number: number; readonly answer: CallAnswer }
  | { readonly type: "failed"; readonly problem: Problem };

/** The state of a call session, as the log reports it. */
export interface CallSessionState {
  readonly call: string;
  readonly shard: number;
  readonly ageMs: number;
  /** Time since the call was submitted first or its last text arrived, in ms. */
  readonly idleMs: number;
  /** Address of the node that the call was submitted to last, or that accepted it. */
  readonly submittedTo: string | undefined;
  readonly accepted: boolean;
  /** Time since the last event from a node, in ms. */
  readonly silenceMs: number;
}

/** The dependencies of a call session. */
export interface CallSessionPort {
  readonly clock: Clock;
  readonly transport: Pick<Transport, "send">;
  readonly router: ShardRouter;
  readonly settings: IngressSettings;
}

const UNAVAILABLE_RETRY_AFTER_MS = 2_000;
const MAX_DECISION_MARGIN_MS = 400;
const DECISION_MARGIN_RATIO = 0.2;

/** The leader must decide shortly before the caller's timeout, so that its definite result arrives before "unknown". */
function decisionMarginMs(patienceMs: number): number {
  return Math.min(MAX_DECISION_MARGIN_MS, patienceMs * DECISION_MARGIN_RATIO);
}

/**
 * One call on the caller's ingress node. Submits the call to the leader of the program's shard and resubmits it when
 * the leader stays silent. Assembles the answer from its chunks, each exactly once and in order, whichever node sends
 * them.
 */
export class CallSession {
  readonly #port: CallSessionPort;
  readonly #parameters: CallParameters;
  readonly #onText: (text: string) => void;
  readonly #resolve: (result: CallResult) => void;
  readonly #startMs: number;
  readonly result: Promise<CallResult>;
  #received = "";
  #settled = false;
  #accepted = false;
  #submittedTo: string | undefined;
  #retryTimer: TimerHandle | undefined;
  #deadlineTimer: TimerHandle | undefined;
  #lastEventMs: number;
  #lastTextMs: number;

  /** @param onText called with each new part of the answer's text */
  constructor(port: CallSessionPort, parameters: CallParameters, onText: (text: string) => void) {
    this.#port = port;
    this.#parameters = parameters;
    this.#onText = onText;
    this.#startMs = port.clock.monotonicMs();
    this.#lastEventMs = this.#startMs;
    this.#lastTextMs = this.#startMs;
    let resolveResult: (result: CallResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      resolveResult = resolve;
    });
    this.#resolve = resolveResult;
  }

  /** The call's identifier. */
  get call(): string {
    return this.#parameters.call;
  }

  /** The session's state for the log. */
  get state(): CallSessionState {
    const nowMs = this.#port.clock.monotonicMs();
    return {
      call: this.call,
      shard: this.#parameters.shard,
      ageMs: Math.round(nowMs - this.#startMs),
      idleMs: Math.round(nowMs - this.#lastTextMs),
      submittedTo: this.#submittedTo,
      accepted: this.#accepted,
      silenceMs: Math.round(nowMs - this.#lastEventMs),
    };
  }

  /** Submits the call and starts the caller's timeout. */
  start(): void {
    const { clock } = this.#port;
    this.#deadlineTimer = clock.schedule(this.#parameters.patienceMs, () => this.#giveUp());
    this.#submit(undefined);
  }

  /** Ends the session after the caller disconnected, and notifies the node that has the call. */
  abandon(): void {
    if (this.#settled) return;
    if (this.#submittedTo) {
      this.#port.transport.send(this.#submittedTo, { type: "abandonCall", call: this.call });
    }
    this.#settle({ type: "failed", problem: problemOf("back-end-failed", "The caller hung up.") });
  }

  /** Handles an event from a node. */
  onEvent(event: CallEvent, from: string): void {
    if (this.#settled) return;
    this.#lastEventMs = this.#port.clock.monotonicMs();
    switch (event.type) {
      case "callAccepted":
        this.#accepted = true;
        this.#submittedTo = from;
        this.#port.router.setLeader(this.#parameters.shard, from);
        return;
      case "callRedirected":
        return this.#onRedirected(event.leader, from);
      case "callChunk":
        return this.#onChunk(event, from);
      case "callFinished":
        return this.#onFinished(event);
      case "callFailed":
        return this.#settle({ type: "failed", problem: event.problem });
    }
  }

  #submit(except: string | undefined, target?: string): void {
    const { clock, router, transport } = this.#port;
    const { program, call, tenant, number, request, patienceMs, shard } = this.#parameters;
    const address = target ?? router.pickAddress(shard, except);
    const elapsedMs = clock.monotonicMs() - this.#startMs;
    if (address) {
      this.#submittedTo = address;
      transport.send(address, {
        type: "submitCall",
        program,
        call,
        tenant,
        number,
        request,
        receivedText: this.#received,
        patienceMs: Math.max(1, patienceMs - elapsedMs - decisionMarginMs(patienceMs)),
      });
    }
    this.#scheduleSilenceCheck();
  }

  /** Schedules a check whether the leader has sent an event in the meantime. */
  #scheduleSilenceCheck(): void {
    const { clock, settings } = this.#port;
    if (this.#retryTimer) clock.cancel(this.#retryTimer);
    const waitMs = this.#accepted ? settings.timing.leaderSilenceMs : settings.timing.submitRetryMs;
    this.#retryTimer = clock.schedule(waitMs, () => this.#onSilence(waitMs));
  }

  #onSilence(waitMs: number): void {
    const { clock, router, settings } = this.#port;
    if (this.#settled) return;
    const silenceMs = clock.monotonicMs() - this.#lastEventMs;
    if (this.#accepted && silenceMs < waitMs) return this.#scheduleSilenceCheck();
    if (silenceMs > settings.timing.unavailableAfterMs) return this.#giveUp();
    router.setLeader(this.#parameters.shard, undefined);
    this.#accepted = false;
    this.#submit(this.#submittedTo);
  }

  #onRedirected(leader: string | undefined, from: string): void {
    this.#port.router.setLeader(this.#parameters.shard, leader);
    this.#accepted = false;
    if (leader && leader !== from) return this.#submit(from, leader);
    this.#scheduleSilenceCheck();
  }

  /** Cuts off text that was received before. After a gap, resubmits the call to get the missing text. */
  #onChunk({ offset, text }: CallChunk, from: string): void {
    const newText = text.slice(this.#received.length - offset);
    if (offset > this.#received.length) return this.#submit(undefined, from);
    if (offset + text.length <= this.#received.length) return;
    this.#received += newText;
    this.#lastTextMs = this.#lastEventMs;
    if (this.#parameters.streamed) this.#onText(newText);
  }

  #onFinished({ number, answer }: CallFinished): void {
    if (answer.type === "completion" && this.#parameters.streamed) {
      if (!answer.text.startsWith(this.#received)) return this.#settle(this.#interruptedResult());
      const rest = answer.text.slice(this.#received.length);
      this.#received = answer.text;
      if (rest) this.#onText(rest);
    }
    this.#settle({ type: "answered", number, answer });
  }

  #interruptedResult(): CallResult {
    const detail = `Another answer to ${this.call} was committed than the one that had begun.`;
    return { type: "failed", problem: problemOf("answer-interrupted", detail) };
  }

  /** Ends the session with an unknown outcome immediately, since this node cannot know whether the call ran. */
  #giveUp(): void {
    const { transport } = this.#port;
    if (this.#submittedTo) transport.send(this.#submittedTo, { type: "abandonCall", call: this.call });
    const waitedMs = Math.round(this.#port.clock.monotonicMs() - this.#startMs);
    const detail = `No end of call ${this.call} was heard of within ${waitedMs} ms.`;
    const details = { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS, outcome: "unknown" } as const;
    this.#settle({ type: "failed", problem: problemOf("outcome-unknown", detail, details) });
  }

  #settle(result: CallResult): void {
    if (this.#settled) return;
    this.#settled = true;
    const { clock } = this.#port;
    if (this.#retryTimer) clock.cancel(this.#retryTimer);
    if (this.#deadlineTimer) clock.cancel(this.#deadlineTimer);
    this.#resolve(result);
  }
}
