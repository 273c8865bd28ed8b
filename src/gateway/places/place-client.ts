/**
 * Asks dispatchers for places on behalf of this gateway's calls. A dispatcher answers at once, also when the call has to
 * wait; one that does not is left alone, and the call is placed by this gateway's own board.
 */
import { AdaptiveTimeout, type TimeoutBounds } from "../../coordination/adaptive-timeout/index.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { RpcReply } from "../../runtime/rpc.ts";
import type { Sender } from "../../runtime/transport.ts";
import {
  forecastAlone,
  LEAST_CALLS,
  longestWaitMs,
  type PlaceCall,
  type PlaceDecision,
  type PlaceForecast,
  type PlaceGrant,
  type PlaceRefused,
} from "../../scheduling/place-queue/index.ts";
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema, PlaceSettled } from "../gateway-messages.ts";
import type { DispatcherCandidate } from "../members/dispatcher-candidate.ts";
import { DispatcherSilence } from "./dispatcher-silence.ts";
import { GroupChoice } from "./group-choice.ts";
import { HeldPlace } from "./held-place.ts";
import type { PlaceAsker } from "./place-asker.ts";
import type { PlaceClientParts } from "./place-client-parts.ts";
import { PlaceQuestion } from "./place-question.ts";
import { PlaceReturns } from "./place-returns.ts";
import type { PlaceVerdict } from "./place-verdict.ts";

/**
 * How long an answer may take, in ms: several times what answers took lately. Too short, and calls go past a dispatcher that
 * is only busy; too long, and each loses as much to one that is gone.
 * The first questions wait for the longest time: they often come many at once, and nothing is known of the dispatcher yet.
 */
const ANSWER_BOUNDS: TimeoutBounds = { firstMs: 150, minMs: 20, maxMs: 150 };
/** A call that has waited for so many times what was announced, and a few ms, asks whether its dispatcher is there. */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_MS = 20;
/** How often calls that wait are looked at, in ms. */
const TICK_MS = 20;
/**
 * When callers that are refused without a dispatcher's word should come back, in ms; up to as much again is added at random.
 * Not before a dispatcher that was held up can answer again, and not after much may have changed.
 */
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 1_000;
/** Dispatchers that a call tries because those before said that others are. */
const MOST_MOVES = 2;

/** What a verdict rests on, for the log. */
interface VerdictGrounds {
  readonly reason?: string;
  readonly unasked?: string;
  readonly behind?: string | undefined;
  readonly forecast?: PlaceForecast | undefined;
  readonly ownDelayMs?: number | undefined;
}

interface EarlyGrant {
  readonly atMs: number;
  readonly grant: PlaceGrant;
  readonly address: string;
}

/** See the module's comment. */
export class PlaceClient {
  readonly #parts: PlaceClientParts;
  readonly #context: GatewayContext;
  readonly #choice: GroupChoice;
  readonly #returns: PlaceReturns;
  readonly #answerTime = new AdaptiveTimeout(ANSWER_BOUNDS);
  readonly #silence = new DispatcherSilence();
  /** Questions that wait, by their lease. */
  readonly #waiting = new Map<number, PlaceQuestion>();
  /** Grants that overtook the answer by which their call is queued. */
  readonly #early = new Map<number, EarlyGrant>();
  #unanswered = 0;
  #timer: TimerHandle | undefined;

  constructor(parts: PlaceClientParts) {
    this.#parts = parts;
    this.#context = parts.context;
    this.#choice = new GroupChoice(parts.groups, parts.context.random);
    this.#returns = new PlaceReturns(parts.context.clock, parts.transport);
  }

  /** Whether calls of a pool ask for a place now. */
  isDispatched(pool: RunnerPool): boolean {
    return this.#parts.scarcity.isScarce(pool);
  }

  /** Asks for a place. The verdict may come before this returns. */
  ask(asker: PlaceAsker): PlaceQuestion {
    const question = new PlaceQuestion(asker, this.#nowMs);
    this.#send(question);
    return question;
  }

  /** The call wants no place any more. */
  giveUp(question: PlaceQuestion): void {
    if (question.isOver) return;
    this.#leaveQueue(question);
    question.state = "over";
    const { lease, dispatcher } = question;
    if (lease !== undefined && dispatcher) this.#giveBackUnused(dispatcher.address, lease);
  }

  /** A dispatcher tells what has become of a call that waited. */
  onSettled({ lease, decision }: PlaceSettled, { address }: Sender): void {
    const question = this.#waiting.get(lease);
    if (question) {
      if (question.dispatcher) this.#silence.clear(question.dispatcher.instance);
      this.#leaveQueue(question);
      if (decision.type === "moved") this.#move(question);
      else this.#onDecision(question, decision);
    } else if (decision.type === "granted") {
      this.#giveBackEarly(this.#nowMs - ANSWER_BOUNDS.maxMs);
      if (this.#unanswered > 0) this.#early.set(lease, { atMs: this.#nowMs, grant: decision, address });
      else this.#giveBackUnused(address, lease);
    }
  }

  /** A gateway is gone: whoever waits there asks the next one. */
  forget(instance: string): void {
    this.#parts.dispatchers.forget();
    this.#silence.clear(instance);
    for (const question of this.#waitingAt(instance)) {
      this.#leaveQueue(question);
      this.#move(question);
    }
  }

  #send(question: PlaceQuestion): void {
    const { asker } = question;
    const call = asker.describe();
    const group = this.#choice.choose(asker.pool.name, call, this.#nowMs);
    if (group === undefined) return this.#placeAlone(question, "no runner is known");
    void this.#askGroup(question, group, call);
  }

  async #askGroup(question: PlaceQuestion, group: number, call: PlaceCall): Promise<void> {
    const pool = question.asker.pool.name;
    const dispatcher = this.#parts.dispatchers.of(pool, group);
    if (!dispatcher) return this.#placeAlone(question, "nobody hands out places");
    question.group = group;
    question.dispatcher = dispatcher;
    // One that waits already asks all the same: it would lose its turn to a dispatcher that was only held up.
    if (question.state === "asking" && this.#silence.has(dispatcher.instance, this.#nowMs))
      return this.#placeAlone(question, "the dispatcher is silent");
    this.#returns.flush(dispatcher.address);
    const request = { pool, group, call };
    this.#unanswered += 1;
    const askedAtMs = this.#nowMs;
    const { currentMs } = this.#answerTime;
    const reply = await this.#parts.rpc.ask(dispatcher.address, "askPlace", request, currentMs);
    this.#unanswered -= 1;
    const tookMs = this.#nowMs - askedAtMs;
    if (reply.type !== "timeout") this.#answerTime.answered(tookMs);
    else if (tookMs >= currentMs) this.#answerTime.expired();
    if (question.isOver) this.#onLateReply(question, dispatcher, reply);
    else this.#onReply(question, dispatcher, reply, Math.max(0, tookMs - currentMs));
    if (this.#unanswered === 0) this.#giveBackEarly(this.#nowMs);
  }

  #onReply(
    question: PlaceQuestion,
    dispatcher: DispatcherCandidate,
    reply: RpcReply<"askPlace", GatewayRpcSchema>,
    ownDelayMs: number,
  ): void {
    if (reply.type === "done") {
      this.#silence.clear(dispatcher.instance);
      this.#leaveQueue(question);
      return this.#onDecision(question, reply.body);
    }
    if (reply.type === "timeout") return this.#onMissed(question, dispatcher, ownDelayMs);
    this.#leaveQueue(question);
    this.#move(question);
  }

  /** The call was given up, or settled, while its question was under way. */
  #onLateReply(
    { lease, asker }: PlaceQuestion,
    { address }: DispatcherCandidate,
    reply: RpcReply<"askPlace", GatewayRpcSchema>,
  ): void {
    if (reply.type === "timeout") return this.#returns.withdraw(address, asker.describe().request);
    if (reply.type !== "done" || reply.body.type === "refused") return;
    if (reply.body.lease !== lease) this.#giveBackUnused(address, reply.body.lease);
  }

  #onMissed(question: PlaceQuestion, dispatcher: DispatcherCandidate, ownDelayMs: number): void {
    const { instance, address } = dispatcher;
    this.#silence.noteMissed(instance, this.#nowMs);
    this.#leaveQueue(question);
    this.#returns.withdraw(address, question.asker.describe().request);
    this.#placeAlone(question, "the dispatcher does not answer", ownDelayMs);
  }

  #onDecision(question: PlaceQuestion, decision: PlaceDecision): void {
    switch (decision.type) {
      case "granted":
        return this.#onGranted(question, decision);
      case "refused":
        return this.#onRefused(question, decision);
      case "queued":
        return this.#onQueued(question, decision.lease, decision.expectedMs);
    }
  }

  #onGranted(question: PlaceQuestion, { runner, lease, behind }: PlaceGrant): void {
    const { dispatcher, group, asker } = question;
    if (!dispatcher) return;
    question.lease = lease;
    if (question.expectedMs === undefined) this.#choice.note(asker.pool.name, group, 0, this.#nowMs);
    const entry = this.#parts.board.ready(runner);
    if (!entry) {
      this.#giveBackUnused(dispatcher.address, lease);
      return this.#placeAlone(question, `the runner ${runner} is not known here`);
    }
    const place = new HeldPlace(lease, dispatcher.address, this.#context.clock, this.#returns);
    this.#settle(question, { type: "granted", runner: entry, place }, { behind });
  }

  /** A program that has begun is given one more chance, at other runners. */
  #onRefused(question: PlaceQuestion, { reason, retryAfterMs, forecast }: PlaceRefused): void {
    const { group, asker } = question;
    const pool = asker.pool.name;
    const call = asker.describe();
    this.#choice.note(pool, group, call.patienceMs + retryAfterMs, this.#nowMs);
    const other =
      call.hasBegun && !question.hasTriedOther
        ? this.#choice.other(pool, call, group, this.#nowMs)
        : undefined;
    if (other === undefined)
      return this.#settle(question, { type: "refused", reason, retryAfterMs }, { reason, forecast });
    question.hasTriedOther = true;
    void this.#askGroup(question, other, call);
  }

  #onQueued(question: PlaceQuestion, lease: number, expectedMs: number): void {
    question.state = "queued";
    question.lease = lease;
    question.expectedMs ??= expectedMs;
    question.overdueAtMs = this.#nowMs + expectedMs * OVERDUE_FACTOR + OVERDUE_MS;
    this.#choice.note(question.asker.pool.name, question.group, expectedMs, this.#nowMs);
    const early = this.#early.get(lease);
    this.#early.delete(lease);
    if (early) return this.#onGranted(question, early.grant);
    this.#waiting.set(lease, question);
    this.#timer ??= this.#context.clock.schedule(TICK_MS, () => this.#tick());
  }

  /** Calls that have waited for too long ask again: a dispatcher that is there says how long it will be. */
  #tick(): void {
    this.#timer = undefined;
    const nowMs = this.#nowMs;
    for (const question of [...this.#waiting.values()]) {
      if (nowMs < question.overdueAtMs || question.isOver) continue;
      question.overdueAtMs = nowMs + this.#answerTime.currentMs + TICK_MS;
      void this.#askGroup(question, question.group, question.asker.describe());
    }
    if (this.#waiting.size > 0) this.#timer ??= this.#context.clock.schedule(TICK_MS, () => this.#tick());
  }

  /** Another gateway is the dispatcher. */
  #move(question: PlaceQuestion): void {
    this.#parts.dispatchers.forget();
    question.lease = undefined;
    question.moves += 1;
    if (question.moves > MOST_MOVES) this.#placeAlone(question, "nobody hands out places");
    else this.#send(question);
  }

  /** No dispatcher decides: who can't be in time by what is known here is refused as a dispatcher would. */
  #placeAlone(question: PlaceQuestion, reason: string, ownDelayMs?: number): void {
    this.#leaveQueue(question);
    const refused = this.#refusalAlone(question.asker);
    if (!refused) return this.#settle(question, { type: "alone" }, { reason, ownDelayMs });
    const { forecast } = refused;
    this.#settle(question, refused, { reason: refused.reason, unasked: reason, forecast, ownDelayMs });
  }

  /** Undefined for a call that can be in time by what is known here. */
  #refusalAlone(asker: PlaceAsker): PlaceRefused | undefined {
    const { board, context } = this.#parts;
    const pool = asker.pool.name;
    const forecast = forecastAlone(board.poolLoad(pool), board.averageMs(pool, LEAST_CALLS));
    const tooLongMs = forecast.expectedMs - longestWaitMs(asker.describe(), forecast.holdingMs);
    if (forecast.expectedMs === 0 || tooLongMs <= 0) return undefined;
    const soonestMs = Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, tooLongMs));
    const retryAfterMs = soonestMs * (1 + context.random.unit());
    return { type: "refused", reason: "wait-too-long-alone", retryAfterMs, forecast };
  }

  #settle(
    question: PlaceQuestion,
    verdict: PlaceVerdict,
    { reason, unasked, behind, forecast, ownDelayMs }: VerdictGrounds,
  ): void {
    if (question.isOver) return;
    question.state = "over";
    const { asker, dispatcher, group, lease, askedAtMs } = question;
    const expectedMs = forecast?.expectedMs ?? question.expectedMs;
    const record = {
      verdict: verdict.type,
      ...(reason === undefined ? {} : { reason }),
      ...(unasked === undefined ? {} : { unasked }),
      ...(dispatcher === undefined ? {} : { dispatcher: dispatcher.instance, group }),
      ...(lease === undefined ? {} : { lease }),
      ...(expectedMs === undefined ? {} : { expectedMs: Math.round(expectedMs) }),
      ...(forecast === undefined ? {} : { holdingMs: Math.round(forecast.holdingMs) }),
      ...(ownDelayMs === undefined ? {} : { ownDelayMs: Math.round(ownDelayMs) }),
      ...(behind === undefined ? {} : { behind }),
      waitedMs: Math.round(this.#nowMs - askedAtMs),
    };
    this.#context.metrics.placed(asker.pool.name, record);
    asker.onVerdict(verdict, record);
  }

  #leaveQueue(question: PlaceQuestion): void {
    if (question.lease !== undefined) this.#waiting.delete(question.lease);
  }

  #waitingAt(instance: string): PlaceQuestion[] {
    return [...this.#waiting.values()].filter(({ dispatcher }) => dispatcher?.instance === instance);
  }

  /** Gives back the grants that came until some time, and that no answer has asked for. */
  #giveBackEarly(untilMs: number): void {
    for (const [lease, { atMs, address }] of this.#early) {
      if (atMs > untilMs) return;
      this.#early.delete(lease);
      this.#giveBackUnused(address, lease);
    }
  }

  #giveBackUnused(address: string, lease: number): void {
    this.#returns.add(address, { lease, heldMs: 0, turnedAway: false });
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }
}
