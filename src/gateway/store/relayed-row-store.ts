/**
 * The platform's store as this gateway reaches it: over its own connections or, where those fail, through a peer whose
 * connections work. A transaction is sent under the same conditions whoever sends it, so that fencing does not depend on
 * the route. When no route works, calls fail at once, and only some are let through to see whether the store is back.
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

/** Longest wait for a call that a peer makes, in ms, beyond the time that the store itself waits for changes. */
const RELAY_TIMEOUT_MS = 1_000;
/**
 * Longest wait for changes through a peer, in ms. That the peer has lost the store itself is noticed only when the wait is
 * given up, and this gateway's own connections are tried again only with the next call.
 */
const MAX_RELAYED_WAIT_MS = 500;
/** Most routes that one call tries when each refuses it. */
const MAX_ROUTES = 3;
/** How long an answer shows that this gateway's own connections work, in ms: longer than a wait for changes. */
const DIRECT_ANSWER_VALIDITY_MS = 2_500;
/** Until answers have shown how long they take, in ms. */
const INITIAL_ANSWER_TIMEOUT_MS = 250;

/** A peer that may carry calls. */
export interface StoreRelay {
  readonly instance: string;
  readonly address: string;
}

/** What the store's routes are made of. */
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
  /** Longest wait for changes on this way, in ms. */
  readonly maxWaitMs: number;
}

/** See the module's comment. */
export class RelayedRowStore implements RowStore {
  readonly #options: RelayedRowStoreOptions;
  readonly #direct: StoreRoute;
  /** Routes through peers, by instance. */
  readonly #relayRoutes = new Map<string, StoreRoute>();
  /** Peers that say that their own connections to the store work. */
  readonly #directPeers = new Set<string>();
  #wasDirectOpen = false;
  /** Peers whose own connections to the store work, nearest first. */
  relays: () => readonly StoreRelay[] = () => [];
  /** How long answers of the store take at most, in ms. */
  answerTimeoutMs: () => number = () => INITIAL_ANSWER_TIMEOUT_MS;

  constructor(options: RelayedRowStoreOptions) {
    this.#options = options;
    this.#direct = this.#createRoute();
    options.rpc.handle("callStore", (call) => this.#serveCall(call));
  }

  /** Whether this gateway's own connections to the store work, so that it may carry calls of others. */
  get isDirect(): boolean {
    const { clock } = this.#options;
    const hasRecentAnswer = clock.monotonicMs() - this.#direct.lastAnswerMs < DIRECT_ANSWER_VALIDITY_MS;
    return hasRecentAnswer && this.#direct.state === "usable";
  }

  /** A peer says whether its own connections to the store work. Where they do again, those of this gateway may, too. */
  updateRelay(instance: string, isDirect: boolean): void {
    if (!isDirect) this.#directPeers.delete(instance);
    else if (!this.#directPeers.has(instance)) {
      this.#directPeers.add(instance);
      this.#direct.endBackoff();
    }
  }

  /** Forgets a peer that is gone. */
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

  /** The best route that a call has not tried yet; undefined when none lets it through. */
  #chooseRoute(tried: ReadonlySet<StoreRoute>): RouteCandidate | undefined {
    const candidates = this.#candidates(tried).filter(({ route }) => !tried.has(route));
    const usable = candidates.find(({ route }) => route.state === "usable");
    return usable ?? candidates.find(({ route }) => route.state === "stalled");
  }

  /** This gateway's own connections first, then, unless those seem to work, peers, nearest first. */
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

  /** One line each time that this gateway's own connections to the store fail, or work again. */
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

  /** Makes a call for a peer: over this gateway's own connections only, so that calls do not go round in circles. */
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

/** Where a call has failed, one that is answered at once comes first: a wait would keep all others from trying. */
function withBoundedWait(call: StoreCall, { route, maxWaitMs }: RouteCandidate): StoreCall {
  if (call.type !== "watch") return call;
  return { ...call, waitMs: route.isHealthy ? Math.min(call.waitMs, maxWaitMs) : 0 };
}

/** Bytes arrive from peers as plain arrays of bytes. */
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
