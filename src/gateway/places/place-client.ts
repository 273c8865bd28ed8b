/**
 * Requests places from dispatchers on behalf of this gateway's calls. A dispatcher answers immediately, even if the call has
 * to wait. One that does not answer is not asked for a while, and this gateway decides from its own runner board.
 */
import { AdaptiveTimeout, type TimeoutBounds } from "../../coordination/adaptive-timeout/index.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { RpcReply } from "../../runtime/rpc.ts";
import type { Sender } from "../../runtime/transport.ts";
import {
  forecastFromLocalLoad,
  longestWaitMs,
  MIN_CALLS_FOR_AVERAGE,
  type PlaceCall,
  type PlaceDecision,
  type PlaceForecast,
  type PlaceGrant,
  type PlaceRefused,
} from "../../scheduling/place-queue/index.ts";
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema, PlaceSettled } from "../gateway-messages.ts";
import type { GatewayCandidate } from "../members/gateway-candidate.ts";
import { GroupSelector } from "./group-selector.ts";
import { HeldPlace } from "./held-place.ts";
import { PendingPlaceRequest } from "./pending-place-request.ts";
import type { PlaceClientParts } from "./place-client-parts.ts";
import type { PlaceRequester } from "./place-requester.ts";
import { PlaceReturnSender } from "./place-return-sender.ts";
import type { PlaceVerdict } from "./place-verdict.ts";
import { UnresponsiveDispatchers } from "./unresponsive-dispatchers.ts";

/**
 * Timeout for a dispatcher's answer, in ms: several times the recent answer times. If it is too short, calls bypass a
 * dispatcher that is only busy; if it is too long, each call loses that time to a dispatcher that is gone.
 * The first requests get the longest timeout: many often arrive at once, and nothing is known about the dispatcher yet.
 */
const ANSWER_TIMEOUT: TimeoutBounds = { initialMs: 150, minMs: 20, maxMs: 150 };
/** A call that has waited for this multiple of the announced wait, plus the margin, checks that its dispatcher is there. */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_MARGIN_MS = 20;
/** How often waiting calls are checked for being overdue, in ms. */
const OVERDUE_CHECK_MS = 20;
/**
 * Bounds of the retry delay for calls that are refused without a dispatcher's decision, in ms; a random time of up to the
 * same length is added. The delay is long enough for a dispatcher that was held up to answer again, and short enough that
 * not much has changed meanwhile.
 */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;
/** How many redirects to another dispatcher a call follows. */
const MAX_REDIRECTS = 2;

/** The reasons for a verdict, for the log. */
interface VerdictDetails {
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

export class PlaceClient {
  readonly #parts: PlaceClientParts;
  readonly #context: GatewayContext;
  readonly #groupSelector: GroupSelector;
  readonly #returns: PlaceReturnSender;
  readonly #answerTimeout = new AdaptiveTimeout(ANSWER_TIMEOUT);
  readonly #unresponsive = new UnresponsiveDispatchers();
  /** Queued requests, by lease. */
  readonly #waiting = new Map<number, PendingPlaceRequest>();
  /** Grants that arrived before the answer that says that their call is queued. */
  readonly #earlyGrants = new Map<number, EarlyGrant>();
  #unanswered = 0;
  #timer: TimerHandle | undefined;

  constructor(parts: PlaceClientParts) {
    this.#parts = parts;
    this.#context = parts.context;
    this.#groupSelector = new GroupSelector(parts.groups, parts.context.random);
    this.#returns = new PlaceReturnSender(parts.context.clock, parts.transport);
  }

  /** Whether calls to a pool must request a place now. */
  requiresPlace(pool: RunnerPool): boolean {
    return this.#parts.scarcity.isScarce(pool);
  }

  /** Requests a place. The verdict may be delivered before this returns. */
  requestPlace(requester: PlaceRequester): PendingPlaceRequest {
    const request = new PendingPlaceRequest(requester, this.#nowMs);
    this.#send(request);
    return request;
  }

  /** Cancels a request whose call no longer needs a place. */
  cancel(request: PendingPlaceRequest): void {
    if (request.isOver) return;
    this.#removeWaiting(request);
    request.state = "over";
    const { lease, dispatcher } = request;
    if (lease !== undefined && dispatcher) this.#returnUnused(dispatcher.address, lease);
  }

  /** Handles a dispatcher's decision on a queued call. */
  onSettled({ lease, decision }: PlaceSettled, { address }: Sender): void {
    const request = this.#waiting.get(lease);
    if (request) {
      if (request.dispatcher) this.#unresponsive.clear(request.dispatcher.instance);
      this.#removeWaiting(request);
      if (decision.type === "moved") this.#redirect(request);
      else this.#onDecision(request, decision);
    } else if (decision.type === "granted") {
      this.#returnEarlyGrants(this.#nowMs - ANSWER_TIMEOUT.maxMs);
      if (this.#unanswered > 0) this.#earlyGrants.set(lease, { atMs: this.#nowMs, grant: decision, address });
      else this.#returnUnused(address, lease);
    }
  }

  /** Handles the loss of a gateway: calls that are queued there ask the next dispatcher. */
  onGatewayLost(instance: string): void {
    this.#parts.dispatchers.invalidate();
    this.#unresponsive.clear(instance);
    for (const request of this.#waitingAt(instance)) {
      this.#removeWaiting(request);
      this.#redirect(request);
    }
  }

  #send(request: PendingPlaceRequest): void {
    const { requester } = request;
    const call = requester.describe();
    const group = this.#groupSelector.choose(requester.pool.name, call, this.#nowMs);
    if (group === undefined) return this.#decideLocally(request, "no runner is known");
    void this.#askGroup(request, group, call);
  }

  async #askGroup(request: PendingPlaceRequest, group: number, call: PlaceCall): Promise<void> {
    const pool = request.requester.pool.name;
    const dispatcher = this.#parts.dispatchers.of(pool, group);
    if (!dispatcher) return this.#decideLocally(request, "nobody hands out places");
    request.group = group;
    request.dispatcher = dispatcher;
    // A queued call also asks an unresponsive dispatcher: if that was only held up, the call would otherwise lose its turn.
    if (request.state === "asking" && this.#unresponsive.isPaused(dispatcher.instance, this.#nowMs))
      return this.#decideLocally(request, "the dispatcher is silent");
    this.#returns.flush(dispatcher.address);
    const body = { pool, group, call };
    this.#unanswered += 1;
    const askedAtMs = this.#nowMs;
    const { currentMs } = this.#answerTimeout;
    const reply = await this.#parts.rpc.ask(dispatcher.address, "askPlace", body, currentMs);
    this.#unanswered -= 1;
    const elapsedMs = this.#nowMs - askedAtMs;
    if (reply.type !== "timeout") this.#answerTimeout.recordAnswer(elapsedMs);
    else if (elapsedMs >= currentMs) this.#answerTimeout.recordExpiry();
    if (request.isOver) this.#onLateReply(request, dispatcher, reply);
    else this.#onReply(request, dispatcher, reply, Math.max(0, elapsedMs - currentMs));
    if (this.#unanswered === 0) this.#returnEarlyGrants(this.#nowMs);
  }

  #onReply(
    request: PendingPlaceRequest,
    dispatcher: GatewayCandidate,
    reply: RpcReply<"askPlace", GatewayRpcSchema>,
    ownDelayMs: number,
  ): void {
    if (reply.type === "done") {
      this.#unresponsive.clear(dispatcher.instance);
      this.#removeWaiting(request);
      return this.#onDecision(request, reply.body);
    }
    if (reply.type === "timeout") return this.#onTimeout(request, dispatcher, ownDelayMs);
    this.#removeWaiting(request);
    this.#redirect(request);
  }

  /** Handles a reply to a request that was cancelled or settled in the meantime. */
  #onLateReply(
    { lease, requester }: PendingPlaceRequest,
    { address }: GatewayCandidate,
    reply: RpcReply<"askPlace", GatewayRpcSchema>,
  ): void {
    if (reply.type === "timeout") return this.#returns.withdraw(address, requester.describe().request);
    if (reply.type !== "done" || reply.body.type === "refused") return;
    if (reply.body.lease !== lease) this.#returnUnused(address, reply.body.lease);
  }

  #onTimeout(request: PendingPlaceRequest, dispatcher: GatewayCandidate, ownDelayMs: number): void {
    const { instance, address } = dispatcher;
    this.#unresponsive.noteMissed(instance, this.#nowMs);
    this.#removeWaiting(request);
    this.#returns.withdraw(address, request.requester.describe().request);
    this.#decideLocally(request, "the dispatcher does not answer", ownDelayMs);
  }

  #onDecision(request: PendingPlaceRequest, decision: PlaceDecision): void {
    switch (decision.type) {
      case "granted":
        return this.#onGranted(request, decision);
      case "refused":
        return this.#onRefused(request, decision);
      case "queued":
        return this.#onQueued(request, decision.lease, decision.expectedMs);
    }
  }

  #onGranted(request: PendingPlaceRequest, { runner, lease, behind }: PlaceGrant): void {
    const { dispatcher, group, requester } = request;
    if (!dispatcher) return;
    request.lease = lease;
    if (request.expectedMs === undefined)
      this.#groupSelector.note(requester.pool.name, group, 0, this.#nowMs);
    const entry = this.#parts.board.ready(runner);
    if (!entry) {
      this.#returnUnused(dispatcher.address, lease);
      return this.#decideLocally(request, `the runner ${runner} is not known here`);
    }
    const place = new HeldPlace(lease, dispatcher.address, this.#context.clock, this.#returns);
    this.#settle(request, { type: "granted", runner: entry, place }, { behind });
  }

  /** Handles a refusal: a call of a program that has begun gets one more try, at another group of runners. */
  #onRefused(request: PendingPlaceRequest, { reason, retryAfterMs, forecast }: PlaceRefused): void {
    const { group, requester } = request;
    const pool = requester.pool.name;
    const call = requester.describe();
    this.#groupSelector.note(pool, group, call.patienceMs + retryAfterMs, this.#nowMs);
    const otherGroup =
      call.hasBegun && !request.hasTriedOtherGroup
        ? this.#groupSelector.chooseOther(pool, call, group, this.#nowMs)
        : undefined;
    if (otherGroup === undefined)
      return this.#settle(request, { type: "refused", reason, retryAfterMs }, { reason, forecast });
    request.hasTriedOtherGroup = true;
    void this.#askGroup(request, otherGroup, call);
  }

  #onQueued(request: PendingPlaceRequest, lease: number, expectedMs: number): void {
    request.state = "queued";
    request.lease = lease;
    request.expectedMs ??= expectedMs;
    request.overdueAtMs = this.#nowMs + expectedMs * OVERDUE_FACTOR + OVERDUE_MARGIN_MS;
    this.#groupSelector.note(request.requester.pool.name, request.group, expectedMs, this.#nowMs);
    const early = this.#earlyGrants.get(lease);
    this.#earlyGrants.delete(lease);
    if (early) return this.#onGranted(request, early.grant);
    this.#waiting.set(lease, request);
    this.#timer ??= this.#context.clock.schedule(OVERDUE_CHECK_MS, () => this.#checkOverdue());
  }

  /** Repeats the requests of overdue calls: a dispatcher that is there answers with a new expected wait. */
  #checkOverdue(): void {
    this.#timer = undefined;
    const nowMs = this.#nowMs;
    for (const request of [...this.#waiting.values()]) {
      if (nowMs < request.overdueAtMs || request.isOver) continue;
      request.overdueAtMs = nowMs + this.#answerTimeout.currentMs + OVERDUE_CHECK_MS;
      void this.#askGroup(request, request.group, request.requester.describe());
    }
    if (this.#waiting.size > 0)
      this.#timer ??= this.#context.clock.schedule(OVERDUE_CHECK_MS, () => this.#checkOverdue());
  }

  /** Sends a request to the new dispatcher, since another gateway has taken over that role. */
  #redirect(request: PendingPlaceRequest): void {
    this.#parts.dispatchers.invalidate();
    request.lease = undefined;
    request.redirects += 1;
    if (request.redirects > MAX_REDIRECTS) this.#decideLocally(request, "nobody hands out places");
    else this.#send(request);
  }

  /**
   * Decides without a dispatcher. As a dispatcher would, it refuses a call that can't finish in time by what this gateway
   * knows; any other call gets the verdict "alone".
   */
  #decideLocally(request: PendingPlaceRequest, reason: string, ownDelayMs?: number): void {
    this.#removeWaiting(request);
    const refused = this.#localRefusal(request.requester);
    if (!refused) return this.#settle(request, { type: "alone" }, { reason, ownDelayMs });
    const { forecast } = refused;
    this.#settle(request, refused, { reason: refused.reason, unasked: reason, forecast, ownDelayMs });
  }

  /** The refusal of a call; undefined if the call can finish in time by what this gateway knows. */
  #localRefusal(requester: PlaceRequester): PlaceRefused | undefined {
    const { board, context } = this.#parts;
    const pool = requester.pool.name;
    const forecast = forecastFromLocalLoad(
      board.poolLoad(pool),
      board.averageMs(pool, MIN_CALLS_FOR_AVERAGE),
    );
    const excessMs = forecast.expectedMs - longestWaitMs(requester.describe(), forecast.holdingMs);
    if (forecast.expectedMs === 0 || excessMs <= 0) return undefined;
    const minDelayMs = Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, excessMs));
    const retryAfterMs = minDelayMs * (1 + context.random.unit());
    return { type: "refused", reason: "wait-too-long-alone", retryAfterMs, forecast };
  }

  #settle(
    request: PendingPlaceRequest,
    verdict: PlaceVerdict,
    { reason, unasked, behind, forecast, ownDelayMs }: VerdictDetails,
  ): void {
    if (request.isOver) return;
    request.state = "over";
    const { requester, dispatcher, group, lease, askedAtMs } = request;
    const expectedMs = forecast?.expectedMs ?? request.expectedMs;
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
    this.#context.metrics.recordPlaceDecision(requester.pool.name, record);
    requester.onVerdict(verdict, record);
  }

  #removeWaiting(request: PendingPlaceRequest): void {
    if (request.lease !== undefined) this.#waiting.delete(request.lease);
  }

  #waitingAt(instance: string): PendingPlaceRequest[] {
    return [...this.#waiting.values()].filter(({ dispatcher }) => dispatcher?.instance === instance);
  }

  /** Returns the early grants that arrived up to a given time and that no answer has claimed. */
  #returnEarlyGrants(untilMs: number): void {
    for (const [lease, { atMs, address }] of this.#earlyGrants) {
      if (atMs > untilMs) return;
      this.#earlyGrants.delete(lease);
      this.#returnUnused(address, lease);
    }
  }

  #returnUnused(address: string, lease: number): void {
    this.#returns.add(address, { lease, heldMs: 0, turnedAway: false });
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }
}
