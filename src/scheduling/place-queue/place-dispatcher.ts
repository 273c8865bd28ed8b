/**
 * Hands out the places of a group of runners; a place lets one call run there. Calls get a place at once while some are
 * free, and wait in a queue otherwise. A call that cannot get a place in time, according to a forecast, is refused at
 * once. No I/O: the time is passed in as a value.
 */
import type { RequestId } from "../ids/request-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";
import { CapacityTracker } from "./capacity-tracker.ts";
import type { GroupCapacity } from "./group-capacity.ts";
import { HoldingTimes } from "./holding-times.ts";
import type { Lease } from "./lease.ts";
import { LeaseTable } from "./lease-table.ts";
import { longestWaitMs } from "./longest-wait.ts";
import type { PlaceCall } from "./place-call.ts";
import type { PlaceDecision } from "./place-decision.ts";
import type { PlaceDispatcherOptions } from "./place-dispatcher-options.ts";
import type { PlaceForecast } from "./place-forecast.ts";
import type { PlaceGrant } from "./place-grant.ts";
import { PlaceQueue } from "./place-queue.ts";
import type { PlaceQueued } from "./place-queued.ts";
import type { PlaceRefusalReason } from "./place-refusal-reason.ts";
import type { PlaceRefused } from "./place-refused.ts";
import type { PlaceSettlement } from "./place-settlement.ts";
import { RetryTimes } from "./retry-times.ts";
import type { ReturnedPlace } from "./returned-place.ts";
import { RunnerBackoff } from "./runner-backoff.ts";
import type { RunnerGroup } from "./runner-group.ts";
import { TenantShares } from "./tenant-shares.ts";
import type { WaitingCall } from "./waiting-call.ts";

/** Calls that may wait at a time. The forecast does not hold back a flood of calls that all accept a very long wait. */
const MAX_WAITING_CALLS = 2_000;
/**
 * Longest wait for a program's first place, as a part of the program's time. Programs that have begun go first and need
 * many more places: if first turns waited for much longer than this, the later turns of all programs would be too late.
 */
const MAX_START_WAIT_RATIO = 0.025;
/** A lease expires after this many times the usual holding time of its route. */
const LEASE_HOLDING_FACTOR = 10;
/** Longer than most callers wait, so that a runner that hangs gets no new calls while it still has some. */
const MIN_LEASE_MS = 4_000;
const MAX_LEASE_MS = 10_000;
/**
 * How long a waiting call is skipped if no free runner has enough memory for it, in ms. After that, the calls behind it
 * wait until it has its place.
 */
const MAX_SKIP_MS = 100;
/** Calls that are skipped at a time. */
const MAX_SKIPPED_CALLS = 4;
/** Longest delay after which a refused caller should retry, in ms: the load may change a lot in this time. */
const MAX_RETRY_DELAY_MS = 2_000;
/** Stands for a wait of unknown length, in ms: longer than any caller waits. */
const UNKNOWN_WAIT_MS = 60_000;
/** Retry delay of a call that no runner can take, in ms. */
const NO_RUNNER_RETRY_DELAY_MS = 250;

/** Grants, queues and refuses requests for the places of one group of runners. */
export class PlaceDispatcher {
  readonly #group: RunnerGroup;
  readonly #queue = new PlaceQueue();
  readonly #leases = new LeaseTable();
  readonly #shares: TenantShares;
  readonly #holdingTimes: HoldingTimes;
  readonly #backoff = new RunnerBackoff();
  readonly #retryTimes = new RetryTimes();
  readonly #capacityTracker: CapacityTracker;
  /** Leases by request, including those of calls that still wait. */
  readonly #leaseByRequest = new Map<RequestId, number>();
  readonly #maxReportAgeMs: number;
  #lastRequestAtMs = Number.NEGATIVE_INFINITY;
  #nextLease: number;
  #lastServedTenant: TenantName | undefined;

  constructor({ group, weightOf, firstLease, maxReportAgeMs }: PlaceDispatcherOptions) {
    this.#group = group;
    this.#holdingTimes = new HoldingTimes((minCalls) => group.averageCallMs(minCalls));
    this.#shares = new TenantShares(weightOf);
    this.#capacityTracker = new CapacityTracker(group, this.#leases, this.#backoff, maxReportAgeMs);
    this.#nextLease = firstLease;
    this.#maxReportAgeMs = maxReportAgeMs;
  }

  /** Number of calls that wait. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Number of leases in force. */
  get leased(): number {
    return this.#leases.size;
  }

  /** Places of the group, and how many of them are free. */
  capacity(nowMs: number): GroupCapacity {
    return this.#capacityTracker.groupCapacity(this.#holdingTimes.averageMs, nowMs);
  }

  /** Grants a place to a call, queues it or refuses it. A repeated request gets the answer that is valid now. */
  requestPlace(call: PlaceCall, holder: string, nowMs: number): PlaceDecision {
    // While no requests arrive, gateways place their calls without this dispatcher.
    if (nowMs - this.#lastRequestAtMs > this.#maxReportAgeMs) this.#capacityTracker.recordInitialLoads(nowMs);
    this.#lastRequestAtMs = nowMs;
    const existing = this.#existingDecision(call, holder, nowMs);
    if (existing) return existing;
    const newCall = this.#createWaitingCall(call, holder, nowMs);
    const decision = this.#decide(newCall, nowMs);
    if (decision.type === "refused") this.#shares.removeCall(newCall.share);
    else this.#leaseByRequest.set(call.request, newCall.lease);
    return decision;
  }

  /** Frees a place, or removes a call from the queue. */
  release({ lease, heldMs, turnedAway }: ReturnedPlace, nowMs: number): void {
    const waiting = this.#queue.get(lease);
    if (waiting) return this.#removeWaiting(waiting);
    const held = this.#leases.get(lease);
    if (!held) return;
    this.#endLease(held, heldMs);
    if (turnedAway) this.#backoff.recordRejection(held.runner, nowMs);
    else if (heldMs > 0) {
      this.#holdingTimes.record(held.call.route, heldMs);
      this.#backoff.reset(held.runner);
    }
  }

  /** Removes a request whose gateway did not receive the answer. */
  withdraw(request: RequestId, nowMs: number): void {
    const lease = this.#leaseByRequest.get(request);
    if (lease !== undefined) this.release({ lease, heldMs: 0, turnedAway: false }, nowMs);
  }

  /** Ends the leases and removes the waiting calls of a gateway that is gone. */
  dropHolder(holder: string): void {
    for (const waiting of this.#queue.calls()) if (waiting.holder === holder) this.#removeWaiting(waiting);
    for (const lease of this.#leases.leases()) if (lease.holder === holder) this.#endLease(lease, 0);
  }

  /** Ends the leases whose time is over. */
  expireLeases(nowMs: number): void {
    for (const lease of this.#leases.leases())
      if (nowMs >= lease.endsAtMs) this.#endLease(lease, nowMs - lease.grantedAtMs);
  }

  /** Grants free places to waiting calls, and refuses calls that have waited too long. */
  settle(nowMs: number): PlaceSettlement[] {
    const settled: PlaceSettlement[] = [];
    if (this.#queue.size === 0) return settled;
    for (const waiting of this.#queue.calls()) {
      if (nowMs < waiting.giveUpAtMs) continue;
      this.#removeWaiting(waiting);
      settled.push(settlementOf(waiting, this.#refusal("waited-in-vain", 0, nowMs)));
    }
    const skipped = new Set<WaitingCall>();
    while (skipped.size <= MAX_SKIPPED_CALLS && this.capacity(nowMs).free > 0) {
      const next = this.#queue.first(nowMs, skipped);
      if (!next) break;
      const grant = this.#tryGrant(next, nowMs);
      if (grant) {
        this.#queue.remove(next);
        settled.push(settlementOf(next, grant));
      } else if (this.#blocksOthers(next, nowMs)) break;
      else skipped.add(next);
    }
    return settled;
  }

  /** Empties the queue and returns the calls that waited. */
  drain(): WaitingCall[] {
    const waiting = [...this.#queue.calls()];
    for (const call of waiting) this.#removeWaiting(call);
    return waiting;
  }

  #decide(newCall: WaitingCall, nowMs: number): PlaceDecision {
    const { call } = newCall;
    const isEveryRunnerExcluded = this.#group.runners().every(({ id }) => call.excluded.includes(id));
    if (isEveryRunnerExcluded)
      return { type: "refused", reason: "no-runner", retryAfterMs: NO_RUNNER_RETRY_DELAY_MS };
    if (this.#queue.size === 0) {
      const grant = this.#tryGrant(newCall, nowMs);
      if (grant) return grant;
    }
    const expectedMs = this.#expectedWaitMs(newCall, nowMs);
    const holdingMs = this.#holdingTimes.forRoute(call.route);
    const forecast = { expectedMs, holdingMs };
    const maxWaitMs = longestWaitMs(call, holdingMs);
    const isFirstTurn = call.program !== undefined && !call.hasBegun;
    const maxStartWaitMs = call.dueInMs * MAX_START_WAIT_RATIO;
    if (isFirstTurn && expectedMs > maxStartWaitMs)
      return this.#refusal("program-too-late", expectedMs - maxStartWaitMs, nowMs, forecast);
    if (expectedMs > maxWaitMs)
      return this.#refusal("wait-too-long", expectedMs - maxWaitMs, nowMs, forecast);
    if (this.#queue.size >= MAX_WAITING_CALLS)
      return this.#refusal("queue-full", expectedMs, nowMs, forecast);
    this.#queue.add(newCall);
    return { type: "queued", lease: newCall.lease, expectedMs };
  }

  #createWaitingCall(call: PlaceCall, holder: string, nowMs: number): WaitingCall {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    const holdingMs = this.#holdingTimes.forRoute(call.route);
    const maxWaitMs = call.leftMs === undefined ? call.patienceMs : longestWaitMs(call, holdingMs);
    return {
      call,
      lease,
      holder,
      share: this.#shares.addCall(call.tenant),
      arrivedAtMs: nowMs,
      latestStartAtMs: nowMs + call.dueInMs - holdingMs,
      giveUpAtMs: nowMs + Math.max(0, maxWaitMs),
    };
  }

  /**
   * The answer to a request that was answered before. Undefined if there was none, or if the call now excludes the runner
   * that it was granted: its lease ends, and the request is decided anew.
   */
  #existingDecision(call: PlaceCall, holder: string, nowMs: number): PlaceGrant | PlaceQueued | undefined {
    const leaseId = this.#leaseByRequest.get(call.request);
    if (leaseId === undefined) return undefined;
    const waiting = this.#queue.get(leaseId);
    if (waiting?.holder === holder)
      return { type: "queued", lease: leaseId, expectedMs: this.#expectedWaitMs(waiting, nowMs) };
    const lease = this.#leases.get(leaseId);
    // Callers choose the request identifiers: a call of another gateway may have the same one.
    if (lease?.holder !== holder) return undefined;
    if (!call.excluded.includes(lease.runner)) return grantOf(lease, nowMs);
    this.#endLease(lease, 0);
    return undefined;
  }

  #tryGrant(waiting: WaitingCall, nowMs: number): PlaceGrant | undefined {
    const { call, lease, holder, share, arrivedAtMs } = waiting;
    const runner = this.#capacityTracker.runnerFor(call, this.#holdingTimes.averageMs, nowMs);
    if (!runner) return undefined;
    const expectedMs = this.#holdingTimes.forRoute(call.route);
    const leaseMs = Math.min(MAX_LEASE_MS, Math.max(MIN_LEASE_MS, LEASE_HOLDING_FACTOR * expectedMs));
    const granted = {
      lease,
      call,
      runner: runner.id,
      holder,
      share,
      grantedAtMs: nowMs,
      waitedMs: nowMs - arrivedAtMs,
      expectedMs,
      endsAtMs: nowMs + leaseMs,
    };
    this.#leases.add(granted);
    this.#shares.charge(share, expectedMs);
    const grant = grantOf(granted, nowMs);
    const behind = granted.waitedMs > 0 ? this.#lastServedTenant : undefined;
    this.#lastServedTenant = call.tenant;
    return behind === undefined ? grant : { ...grant, behind };
  }

  #refusal(
    reason: PlaceRefusalReason,
    earliestMs: number,
    nowMs: number,
    forecast?: PlaceForecast,
  ): PlaceRefused {
    const intervalMs = Math.min(MAX_RETRY_DELAY_MS, timeToFreeMs(1, this.capacity(nowMs)));
    const retryAfterMs = this.#retryTimes.next(nowMs, Math.min(earliestMs, MAX_RETRY_DELAY_MS), intervalMs);
    return { type: "refused", reason, retryAfterMs, ...(forecast === undefined ? {} : { forecast }) };
  }

  #expectedWaitMs(waiting: WaitingCall, nowMs: number): number {
    const capacity = this.capacity(nowMs);
    const ahead = this.#queue.countAhead(waiting, this.#holdingTimes.averageMs, nowMs);
    return timeToFreeMs(Math.max(0, ahead + 1 - capacity.free), capacity);
  }

  /** Whether the calls behind a call wait until a runner has enough memory for it. */
  #blocksOthers({ call, arrivedAtMs }: WaitingCall, nowMs: number): boolean {
    return call.excluded.length === 0 && nowMs - arrivedAtMs > MAX_SKIP_MS;
  }

  #removeWaiting(waiting: WaitingCall): void {
    this.#queue.remove(waiting);
    this.#shares.removeCall(waiting.share);
    this.#removeRequest(waiting.call.request, waiting.lease);
  }

  #endLease(lease: Lease, heldMs: number): void {
    this.#leases.remove(lease);
    this.#shares.adjust(lease.share, heldMs - lease.expectedMs);
    this.#shares.removeCall(lease.share);
    this.#removeRequest(lease.call.request, lease.lease);
  }

  #removeRequest(request: RequestId, lease: number): void {
    if (this.#leaseByRequest.get(request) === lease) this.#leaseByRequest.delete(request);
  }
}

function grantOf({ runner, lease, endsAtMs, waitedMs }: Lease, nowMs: number): PlaceGrant {
  return { type: "granted", runner, lease, leaseMs: endsAtMs - nowMs, waitedMs };
}

/** How long it takes until this many places become free, in ms. */
function timeToFreeMs(places: number, { placesFreedPerMs }: GroupCapacity): number {
  return places === 0 ? 0 : Math.min(UNKNOWN_WAIT_MS, places / placesFreedPerMs);
}

function settlementOf(
  { holder, lease }: WaitingCall,
  decision: PlaceSettlement["decision"],
): PlaceSettlement {
  return { holder, lease, decision };
}
