/**
 * A client of the platform's store with failover. It uses this gateway's own connections or, if those fail, a peer
 * whose connections work. A transaction has the same conditions on every route, so fencing does not depend on the
 * route. When no route works, calls fail at once, and only a few are let through to probe whether the store is back.
 */
import type { Logger } from "pino";
import type {
  ReadOutcome,
  RowRange,
  RowStore,
  RowTransaction,
  StoreRefusal,
  TransactionOutcome,
  WatchOutcome,
} from "../../ports/store/row-store.ts";
import type { Clock } from "../../runtime/clock.ts";
import type { RandomSource } from "../../runtime/random-source.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { StoreCall, StoreCallOutcome } from "./store-call.ts";
import { StoreRoute } from "./store-route.ts";

/** Timeout of a call through a peer, in ms. The time for which the store itself waits for changes is added to it. */
const RELAY_TIMEOUT_MS = 1_000;
/**
 * Longest wait for changes through a peer, in ms. Only the end of the wait shows that the peer has lost the store
 * itself, and only the next call tries this gateway's own connections again.
 */
const MAX_RELAYED_WAIT_MS = 500;
/** Largest number of routes that one call tries if each of them refuses it. */
const MAX_ROUTES = 3;
/** How long an answer proves that this gateway's own connections work, in ms. Longer than a wait for changes. */
const DIRECT_ANSWER_VALIDITY_MS = 2_500;
/** Answer timeout until response times have been measured, in ms. */
const INITIAL_ANSWER_TIMEOUT_MS = 250;

/** A peer that can make store calls for this gateway. */
export interface StoreRelay {
  readonly instance: string;
  readonly address: string;
}

/** Dependencies of a {@link RelayedRowStore}. */
export interface RelayedRowStoreOptions {
  /** The store over this gateway's own connections. */
  readonly direct: RowStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly log: Logger;
}

type SendCall = (call: StoreCall) => Promise<StoreCallOutcome>;

interface RouteCandidate {
  readonly route: StoreRoute;
  readonly send: SendCall;
  /** Longest wait for changes on this route, in ms. */
  readonly maxWaitMs: number;
}

/** Chooses a route for each store call, and makes calls for peers. */
export class RelayedRowStore implements RowStore {
  readonly #options: RelayedRowStoreOptions;
  readonly #direct: StoreRoute;
  /** Routes through peers, by instance. */
  readonly #relayRoutes = new Map<string, StoreRoute>();
  /** Peers that report that their own connections to the store work. */
  readonly #directPeers = new Set<string>();
  #wasDirectOpen = false;
  /** Returns the peers whose own connections to the store work, nearest first. */
  relays: () => readonly StoreRelay[] = () => [];
  /** Returns how long answers of the store usually take at most, in ms. */
  answerTimeoutMs: () => number = () => INITIAL_ANSWER_TIMEOUT_MS;

  constructor(options: RelayedRowStoreOptions) {
    this.#options = options;
    this.#direct = this.#createRoute();
    options.rpc.handle("callStore", (call) => this.#serveCall(call));
  }

  /** Whether this gateway's own connections to the store work, so that it can make calls for peers. */
  get isDirect(): boolean {
    const { clock } = this.#options;
    const hasRecentAnswer = clock.monotonicMs() - this.#direct.lastAnswerMs < DIRECT_ANSWER_VALIDITY_MS;
    return hasRecentAnswer && this.#direct.state === "usable";
  }

  /**
   * Updates whether a peer's own connections to the store work. If they start to work, this gateway's own may work
   * again too, so they are tried at once.
   */
  updateRelay(instance: string, isDirect: boolean): void {
    if (!isDirect) this.#directPeers.delete(instance);
    else if (!this.#directPeers.has(instance)) {
      this.#directPeers.add(instance);
      this.#direct.endBackoff();
    }
  }

  /** Removes a peer that is gone. */
  removeRelay(instance: string): void {
    this.#directPeers.delete(instance);
    this.#relayRoutes.delete(instance);
  }

  transact(transaction: RowTransaction): Promise<TransactionOutcome> {
    return this.#call({ type: "transact", transaction }) as Promise<TransactionOutcome>;
  }

  read(range: RowRange): Promise<ReadOutcome> {
    return this.#call({ type: "read", range }) as Promise<ReadOutcome>;
  }

  watch(table: string, afterVersion: number, waitMs: number): Promise<WatchOutcome> {
    return this.#call({ type: "watch", table, afterVersion, waitMs }) as Promise<WatchOutcome>;
  }

  async #call(call: StoreCall): Promise<StoreCallOutcome> {
    let refusal: StoreRefusal = { type: "refused", detail: "no route to the store works" };
    const tried = new Set<StoreRoute>();
    while (tried.size < MAX_ROUTES) {
      const candidate = this.#chooseRoute(tried);
      if (!candidate) break;
      tried.add(candidate.route);
      const outcome = await this.#sendOver(candidate, call);
      if (outcome.type !== "refused") return outcome;
      refusal = outcome;
    }
    return refusal;
  }

  /** Returns the best route that a call has not tried yet; undefined if all of those are open. */
  #chooseRoute(tried: ReadonlySet<StoreRoute>): RouteCandidate | undefined {
    const candidates = this.#candidates(tried).filter(({ route }) => !tried.has(route));
    const usable = candidates.find(({ route }) => route.state === "usable");
    return usable ?? candidates.find(({ route }) => route.state === "stalled");
  }

  /** Returns this gateway's own connections and, unless they are usable and untried, the peers, nearest first. */
  #candidates(tried: ReadonlySet<StoreRoute>): RouteCandidate[] {
    const candidates: RouteCandidate[] = [this.#directCandidate];
    if (this.#direct.state === "usable" && !tried.has(this.#direct)) return candidates;
    for (const relay of this.relays())
      candidates.push({
        route: this.#relayRoute(relay.instance),
        send: (call) => this.#callPeer(relay, call),
        maxWaitMs: MAX_RELAYED_WAIT_MS,
      });
    return candidates;
  }

  get #directCandidate(): RouteCandidate {
    return {
      route: this.#direct,
      send: (call) => this.#callDirectly(call),
      maxWaitMs: Number.POSITIVE_INFINITY,
    };
  }

  async #sendOver(candidate: RouteCandidate, requestedCall: StoreCall): Promise<StoreCallOutcome> {
    const { route, send } = candidate;
    const call = withBoundedWait(requestedCall, candidate);
    const routeCall = route.startCall(call.type === "watch" && call.waitMs > 0);
    const outcome = await send(call);
    if (outcome.type === "refused" || outcome.type === "unknown") route.recordFailure(routeCall);
    else route.recordAnswer(routeCall);
    if (route === this.#direct) this.#logDirectChange(outcome);
    return outcome;
  }

  /** Logs when this gateway's own connections to the store start to fail and when they work again. */
  #logDirectChange(outcome: StoreCallOutcome): void {
    const isOpen = this.#direct.state === "open";
    if (isOpen === this.#wasDirectOpen) return;
    this.#wasDirectOpen = isOpen;
    const { clock, log } = this.#options;
    if (!isOpen) return log.info("own connections to the store work again");
    const answerAgeMs = Math.round(clock.monotonicMs() - this.#direct.lastAnswerMs);
    const detail = "detail" in outcome ? outcome.detail : outcome.type;
    const relays = this.relays().length;
    log.warn({ detail, answerAgeMs, relays }, "own connections to the store fail");
  }

  #callDirectly(call: StoreCall): Promise<StoreCallOutcome> {
    const { direct } = this.#options;
    switch (call.type) {
      case "transact":
        return direct.transact(call.transaction);
      case "read":
        return direct.read(call.range);
      case "watch":
        return direct.watch(call.table, call.afterVersion, call.waitMs);
    }
  }

  async #callPeer(relay: StoreRelay, call: StoreCall): Promise<StoreCallOutcome> {
    const timeoutMs = RELAY_TIMEOUT_MS + (call.type === "watch" ? call.waitMs : 0);
    const reply = await this.#options.rpc.ask(relay.address, "callStore", call, timeoutMs);
    if (reply.type === "done") return outcomeWithBuffers(reply.body);
    return { type: "unknown", detail: `the peer ${relay.instance} gave ${reply.type}` };
  }

  /** Makes a call for a peer. It uses only this gateway's own connections, so that calls can't loop between peers. */
  async #serveCall(call: StoreCall): Promise<StoreCallOutcome> {
    if (this.#direct.state === "open") return { type: "refused", detail: "the store refuses this peer, too" };
    return this.#sendOver(this.#directCandidate, callWithBuffers(call));
  }

  #relayRoute(instance: string): StoreRoute {
    const known = this.#relayRoutes.get(instance);
    if (known) return known;
    const route = this.#createRoute();
    this.#relayRoutes.set(instance, route);
    return route;
  }

  #createRoute(): StoreRoute {
    const { clock, random } = this.#options;
    return new StoreRoute(clock, random, () => this.answerTimeoutMs());
  }
}

/**
 * Limits how long a watch waits for changes. After a failure on the route, it does not wait at all: an open breaker
 * lets only one call through, and a long poll would block all others until it ends.
 */
function withBoundedWait(call: StoreCall, { route, maxWaitMs }: RouteCandidate): StoreCall {
  if (call.type !== "watch") return call;
  return { ...call, waitMs: route.isHealthy ? Math.min(call.waitMs, maxWaitMs) : 0 };
}

/** Wraps bytes received from a peer, which arrive as a plain `Uint8Array`. */
function bufferOf(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function callWithBuffers(call: StoreCall): StoreCall {
  if (call.type !== "transact") return call;
  const puts = call.transaction.puts.map((row) => ({ ...row, value: bufferOf(row.value) }));
  return { ...call, transaction: { ...call.transaction, puts } };
}

function outcomeWithBuffers(outcome: StoreCallOutcome): StoreCallOutcome {
  switch (outcome.type) {
    case "rows":
    case "conflict":
      return { ...outcome, rows: outcome.rows.map((row) => ({ ...row, value: bufferOf(row.value) })) };
    case "changes":
      return {
        ...outcome,
        changes: outcome.changes.map((row) => ({ ...row, value: row.value && bufferOf(row.value) })),
      };
    default:
      return outcome;
  }
}
