/**
 * Hands out places to all gateways, for the groups whose dispatcher this gateway is. No state is stored: a gateway that
 * becomes a dispatcher learns from heartbeats which places are in use.
 */
import { repeat, type TimerHandle } from "../../runtime/clock.ts";
import { RedirectSignal } from "../../runtime/rpc.ts";
import type { Sender } from "../../runtime/transport.ts";
import { PlaceDispatcher } from "../../scheduling/place-queue/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { AskPlaceRequest, AskPlaceResponse, PlaceSettled, ReturnPlaces } from "../gateway-messages.ts";
import { BoardRunnerGroup } from "./board-runner-group.ts";
import type { PlaceHostParts } from "./place-host-parts.ts";

/** How often queues are checked while calls wait, in ms; a refusal can be late by this time. */
const QUEUE_CHECK_MS = 20;
/** How often leases, dispatcher roles and metrics are updated, in ms. */
const MAINTENANCE_INTERVAL_MS = 250;
/** Maximum age of reported load, in heartbeats: the reporting gateway's own, those of two relays, and one for the network. */
const MAX_REPORT_AGE_HEARTBEATS = 4;
/** Minimum time between two log lines about the queue of a group, in ms. */
const LOG_INTERVAL_MS = 1_000;
/** A group that has received no requests for this time is dropped, in ms. */
const GROUP_IDLE_MS = 10_000;
/** Lease numbers start at a random multiple of this, so that those of different dispatchers are far apart. */
const LEASE_BLOCK_SIZE = 2 ** 22;
const LEASE_BLOCK_COUNT = 2 ** 28;

interface HostedGroup {
  readonly pool: string;
  readonly index: number;
  readonly dispatcher: PlaceDispatcher;
  lastAskedAtMs: number;
  lastLoggedAtMs: number;
}

export class PlaceHost {
  readonly #parts: PlaceHostParts;
  readonly #context: GatewayContext;
  readonly #groups = new Map<string, HostedGroup>();
  /** Addresses of the gateways that have requested places, by instance. */
  readonly #addresses = new Map<string, string>();
  #timer: TimerHandle | undefined;

  constructor(parts: PlaceHostParts) {
    this.#parts = parts;
    this.#context = parts.context;
    parts.rpc.handle("askPlace", async (request, from) => this.#onAskPlace(request, from));
  }

  start(): void {
    repeat(this.#context.clock, MAINTENANCE_INTERVAL_MS, () => this.#maintain());
  }

  /** Takes places back. The lease number identifies the dispatcher that granted a place. */
  onReturned({ returned, withdrawn = [] }: ReturnPlaces): void {
    const nowMs = this.#nowMs;
    for (const group of this.#groups.values()) {
      for (const place of returned) group.dispatcher.release(place, nowMs);
      for (const request of withdrawn) group.dispatcher.withdraw(request, nowMs);
      this.#settleWaiting(group);
    }
  }

  /** Handles the loss of a gateway: the places that it held become free. */
  onGatewayLost(instance: string): void {
    if (!this.#addresses.delete(instance)) return;
    for (const group of this.#groups.values()) {
      group.dispatcher.dropHolder(instance);
      this.#settleWaiting(group);
    }
  }

  #onAskPlace({ pool, group, call }: AskPlaceRequest, { instance, address }: Sender): AskPlaceResponse {
    if (!this.#parts.dispatchers.isSelf(pool, group)) throw new RedirectSignal(undefined);
    const hosted = this.#hostedGroup(pool, group);
    hosted.lastAskedAtMs = this.#nowMs;
    this.#addresses.set(instance, address);
    const decision = hosted.dispatcher.requestPlace(call, instance, this.#nowMs);
    if (decision.type === "queued") this.#scheduleQueueCheck();
    return decision;
  }

  #hostedGroup(pool: string, index: number): HostedGroup {
    const key = `${pool}/${index}`;
    const known = this.#groups.get(key);
    if (known) return known;
    const { random, settings, log } = this.#context;
    const nowMs = this.#nowMs;
    const dispatcher = new PlaceDispatcher({
      group: new BoardRunnerGroup(this.#parts, pool, index),
      weightOf: (tenant) => this.#parts.weights.of(tenant),
      firstLease: LEASE_BLOCK_SIZE * random.below(LEASE_BLOCK_COUNT),
      maxReportAgeMs: MAX_REPORT_AGE_HEARTBEATS * settings.timing.heartbeatMs,
    });
    const created = { pool, index, dispatcher, lastAskedAtMs: nowMs, lastLoggedAtMs: nowMs };
    this.#groups.set(key, created);
    log.info({ pool, group: index }, "hands out places");
    return created;
  }

  #settleWaiting({ dispatcher }: HostedGroup): void {
    if (dispatcher.waiting === 0) return;
    for (const { holder, lease, decision } of dispatcher.settle(this.#nowMs))
      this.#notify(holder, { type: "placeSettled", lease, decision });
  }

  #notify(holder: string, message: PlaceSettled): void {
    const address = this.#addresses.get(holder);
    if (address !== undefined) this.#parts.transport.send(address, message);
  }

  #scheduleQueueCheck(): void {
    this.#timer ??= this.#context.clock.schedule(QUEUE_CHECK_MS, () => this.#checkQueues());
  }

  #checkQueues(): void {
    this.#timer = undefined;
    let waiting = 0;
    for (const group of this.#groups.values()) {
      this.#settleWaiting(group);
      waiting += group.dispatcher.waiting;
    }
    if (waiting > 0) this.#scheduleQueueCheck();
  }

  #maintain(): void {
    const nowMs = this.#nowMs;
    this.#parts.board.dropStale(nowMs);
    for (const [key, group] of this.#groups) {
      const { pool, index, dispatcher, lastAskedAtMs } = group;
      dispatcher.expireLeases(nowMs);
      const isIdle = dispatcher.waiting === 0 && nowMs - lastAskedAtMs > GROUP_IDLE_MS;
      if (isIdle || !this.#parts.dispatchers.isSelf(pool, index)) {
        this.#stopDispatching(key, group);
        continue;
      }
      this.#settleWaiting(group);
      const { leased, waiting } = dispatcher;
      if (waiting > 0) this.#logQueue(group);
      this.#context.metrics.setDispatchedPlaces(pool, index, {
        places: dispatcher.capacity(nowMs).places,
        leased,
        waiting,
      });
    }
  }

  /** Logs why calls wait, at most once a second for each group. */
  #logQueue(group: HostedGroup): void {
    const nowMs = this.#nowMs;
    if (nowMs - group.lastLoggedAtMs < LOG_INTERVAL_MS) return;
    group.lastLoggedAtMs = nowMs;
    const { pool, index, dispatcher } = group;
    const { places, free, placedByOthers, paused } = dispatcher.capacity(nowMs);
    const { leased, waiting } = dispatcher;
    const state = { pool, group: index, places, free, leased, placedByOthers, paused, waiting };
    this.#context.log.info(state, "calls wait for places");
  }

  /** Drops a group: another gateway hands out its places now, or no more requests arrive. */
  #stopDispatching(key: string, { pool, index, dispatcher }: HostedGroup): void {
    this.#groups.delete(key);
    this.#context.metrics.setDispatchedPlaces(pool, index, { places: 0, leased: 0, waiting: 0 });
    const waiting = dispatcher.drain();
    for (const { holder, lease } of waiting)
      this.#notify(holder, { type: "placeSettled", lease, decision: { type: "moved" } });
    this.#context.log.info({ pool, group: index, waiting: waiting.length }, "no longer hands out places");
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }
}
