/**
 * Hands out places for all gateways: those of the groups whose dispatcher this gateway is. Nothing of it lasts: a gateway
 * that begins to be a dispatcher learns from heartbeats what is out.
 */
import { repeat, type TimerHandle } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import type { Sender } from "../../runtime/transport.ts";
import { PlaceDispatcher } from "../../scheduling/place-queue/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { AskPlaceRequest, AskPlaceResponse, PlaceSettled, ReturnPlaces } from "../gateway-messages.ts";
import { BoardGroup } from "./board-group.ts";
import type { PlaceHostParts } from "./place-host-parts.ts";

/** How often queues are looked at while calls wait, in ms: what a refusal may come late. */
const TICK_MS = 20;
/** How often leases, roles and metrics are looked at, in ms. */
const TIDY_MS = 250;
/** What reports tell may be so many heartbeats old: the gateway's own, those of two relays, and one for the way. */
const LEARNED_HEARTBEATS = 4;
const LOG_EVERY_MS = 1_000;
/** Groups for which nobody has asked for so long are forgotten, in ms. */
const IDLE_MS = 10_000;
/** Leases are counted from a random multiple of this on. */
const LEASE_BLOCK = 2 ** 22;
const LEASE_BLOCKS = 2 ** 28;

interface HostedGroup {
  readonly pool: string;
  readonly index: number;
  readonly dispatcher: PlaceDispatcher;
  askedAtMs: number;
  loggedAtMs: number;
}

/** See the module's comment. */
export class PlaceHost {
  readonly #parts: PlaceHostParts;
  readonly #context: GatewayContext;
  readonly #groups = new Map<string, HostedGroup>();
  /** Where the gateways that have asked are reached, by instance. */
  readonly #addresses = new Map<string, string>();
  #timer: TimerHandle | undefined;

  constructor(parts: PlaceHostParts) {
    this.#parts = parts;
    this.#context = parts.context;
    parts.rpc.handle("askPlace", async (request, from) => this.#ask(request, from));
  }

  start(): void {
    repeat(this.#context.clock, TIDY_MS, () => this.#tidy());
  }

  /** Takes places back. Their leases tell whose they are. */
  onReturned({ returned, withdrawn = [] }: ReturnPlaces): void {
    const nowMs = this.#nowMs;
    for (const group of this.#groups.values()) {
      for (const place of returned) group.dispatcher.release(place, nowMs);
      for (const request of withdrawn) group.dispatcher.withdraw(request, nowMs);
      this.#settle(group);
    }
  }

  /** A gateway is gone, and what it held with it. */
  forget(instance: string): void {
    if (!this.#addresses.delete(instance)) return;
    for (const group of this.#groups.values()) {
      group.dispatcher.dropHolder(instance);
      this.#settle(group);
    }
  }

  #ask({ pool, group, call }: AskPlaceRequest, { instance, address }: Sender): AskPlaceResponse {
    if (!this.#parts.dispatchers.isSelf(pool, group)) throw new RedirectSignal(undefined);
    const hosted = this.#hosted(pool, group);
    hosted.askedAtMs = this.#nowMs;
    this.#addresses.set(instance, address);
    const decision = hosted.dispatcher.requestPlace(call, instance, this.#nowMs);
    if (decision.type === "queued") this.#tickSoon();
    return decision;
  }

  #hosted(pool: string, index: number): HostedGroup {
    const key = `${pool}/${index}`;
    const known = this.#groups.get(key);
    if (known) return known;
    const { random, settings, log } = this.#context;
    const nowMs = this.#nowMs;
    const dispatcher = new PlaceDispatcher({
      group: new BoardGroup(this.#parts, pool, index),
      weightOf: (tenant) => this.#parts.weights.of(tenant),
      firstLease: LEASE_BLOCK * random.below(LEASE_BLOCKS),
      maxReportAgeMs: LEARNED_HEARTBEATS * settings.timing.heartbeatMs,
    });
    const begun = { pool, index, dispatcher, askedAtMs: nowMs, loggedAtMs: nowMs };
    this.#groups.set(key, begun);
    log.info({ pool, group: index }, "hands out places");
    return begun;
  }

  #settle({ dispatcher }: HostedGroup): void {
    if (dispatcher.waiting === 0) return;
    for (const { holder, lease, decision } of dispatcher.settle(this.#nowMs))
      this.#tell(holder, { type: "placeSettled", lease, decision });
  }

  #tell(holder: string, message: PlaceSettled): void {
    const address = this.#addresses.get(holder);
    if (address !== undefined) this.#parts.transport.send(address, message);
  }

  #tickSoon(): void {
    this.#timer ??= this.#context.clock.schedule(TICK_MS, () => this.#tick());
  }

  #tick(): void {
    this.#timer = undefined;
    let waiting = 0;
    for (const group of this.#groups.values()) {
      this.#settle(group);
      waiting += group.dispatcher.waiting;
    }
    if (waiting > 0) this.#tickSoon();
  }

  #tidy(): void {
    const nowMs = this.#nowMs;
    this.#parts.board.dropStale(nowMs);
    for (const [key, group] of this.#groups) {
      const { pool, index, dispatcher, askedAtMs } = group;
      dispatcher.expireLeases(nowMs);
      const isIdle = dispatcher.waiting === 0 && nowMs - askedAtMs > IDLE_MS;
      if (isIdle || !this.#parts.dispatchers.isSelf(pool, index)) {
        this.#letGo(key, group);
        continue;
      }
      this.#settle(group);
      const { leased, waiting } = dispatcher;
      if (waiting > 0) this.#logQueue(group);
      this.#context.metrics.dispatched(pool, index, {
        places: dispatcher.capacity(nowMs).places,
        leased,
        waiting,
      });
    }
  }

  /** What callers wait for, at most once a second and group. */
  #logQueue(group: HostedGroup): void {
    const nowMs = this.#nowMs;
    if (nowMs - group.loggedAtMs < LOG_EVERY_MS) return;
    group.loggedAtMs = nowMs;
    const { pool, index, dispatcher } = group;
    const { places, free, placedByOthers, paused } = dispatcher.capacity(nowMs);
    const { leased, waiting } = dispatcher;
    const state = { pool, group: index, places, free, leased, placedByOthers, paused, waiting };
    this.#context.log.info(state, "calls wait for places");
  }

  /** Another gateway hands out the places now, or nobody asks any more. */
  #letGo(key: string, { pool, index, dispatcher }: HostedGroup): void {
    this.#groups.delete(key);
    this.#context.metrics.dispatched(pool, index, { places: 0, leased: 0, waiting: 0 });
    const waiting = dispatcher.drain();
    for (const { holder, lease } of waiting)
      this.#tell(holder, { type: "placeSettled", lease, decision: { type: "moved" } });
    this.#context.log.info({ pool, group: index, waiting: waiting.length }, "hands out places no more");
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }
}
