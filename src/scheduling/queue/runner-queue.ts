/**
 * The state that a runner's home keeps of its runner: the slots that it granted and the requests that wait.
 * It does not depend on load reports; they only correct it.
 */
import { PRIORITY_CLASSES } from "../policy/effective-policy.ts";
import { type SlotRequest, slotKey } from "./slot-request.ts";

/** Options of a {@link RunnerQueue}. */
export interface RunnerQueueOptions {
  /** Calls that the runner processes at the same time. */
  readonly slots: number;
  /** Capacity of the runner's key-value cache for calls in progress, in tokens. */
  readonly kvTokens: number;
  /** Waiting time after which a request counts as one class more urgent, in ms. Default 10,000. */
  readonly agingStepMs?: number;
  /** Requests that may wait. Default 1,024. */
  readonly maxQueued?: number;
  /** Assumed duration of a call before one was measured, in ms. Default 500. */
  readonly initialServiceMs?: number;
}

/** A granted slot. */
export interface GrantedSlot {
  readonly request: SlotRequest;
  readonly grantedAtMs: number;
  readonly waitedMs: number;
}

interface QueuedRequest {
  readonly request: SlotRequest;
  readonly arrivedAtMs: number;
}

/** Weight of the newest sample in the moving average of service times. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/** Slots and waiting requests of one runner. */
export class RunnerQueue {
  readonly #slots: number;
  readonly #kvTokens: number;
  readonly #agingStepMs: number;
  readonly #maxQueued: number;
  readonly #granted = new Map<string, GrantedSlot>();
  readonly #queued = new Map<string, QueuedRequest>();
  #averageServiceMs: number;
  #draining = false;
  #earlierHomeActive = 0;

  constructor(options: RunnerQueueOptions) {
    this.#slots = options.slots;
    this.#kvTokens = options.kvTokens;
    this.#agingStepMs = options.agingStepMs ?? 10_000;
    this.#maxQueued = options.maxQueued ?? 1_024;
    this.#averageServiceMs = options.initialServiceMs ?? 500;
  }

  /** Number of slots in use. */
  get active(): number {
    return this.#granted.size;
  }

  /** Number of requests that wait. */
  get queued(): number {
    return this.#queued.size;
  }

  /** Total number of slots. */
  get slots(): number {
    return this.#slots;
  }

  /** Whether the queue grants no new slots. */
  get draining(): boolean {
    return this.#draining;
  }

  /** Every slot in use. */
  grantedSlots(): IterableIterator<GrantedSlot> {
    return this.#granted.values();
  }

  /** Sets how many calls on the runner an earlier home granted; they use slots until they end. */
  setForeignActive(count: number): void {
    this.#earlierHomeActive = count;
  }

  /** Stops or resumes granting slots. A draining queue also refuses the requests that wait. */
  setDraining(draining: boolean): void {
    this.#draining = draining;
  }

  /** Estimated wait of a request that arrives now, in ms. */
  expectedWaitMs(): number {
    const ahead = this.#granted.size + this.#earlierHomeActive + this.#queued.size + 1 - this.#slots;
    return ahead <= 0 ? 0 : (ahead * this.#averageServiceMs) / this.#slots;
  }

  /** Adds a request. Returns false if the queue rejects it. A request that is already known keeps its position. */
  offer(request: SlotRequest, nowMs: number): boolean {
    const key = slotKey(request.call, request.attempt);
    if (this.#granted.has(key) || this.#queued.has(key)) return true;
    if (this.#draining || this.#queued.size >= this.#maxQueued) return false;
    if (request.promptTokens + request.maxTokens > this.#kvTokens) return false;
    this.#queued.set(key, { request, arrivedAtMs: nowMs });
    return true;
  }

  /** Grants free slots to the most urgent requests. */
  grantNext(nowMs: number): GrantedSlot[] {
    const granted: GrantedSlot[] = [];
    if (this.#draining) return granted;
    while (this.#granted.size + this.#earlierHomeActive < this.#slots) {
      const next = this.#mostUrgent(nowMs);
      if (!next) break;
      const key = slotKey(next.request.call, next.request.attempt);
      this.#queued.delete(key);
      const slot = { request: next.request, grantedAtMs: nowMs, waitedMs: nowMs - next.arrivedAtMs };
      this.#granted.set(key, slot);
      granted.push(slot);
    }
    return granted;
  }

  /** The slot of an attempt, if it has one. */
  slotOf(call: string, attempt: number): GrantedSlot | undefined {
    return this.#granted.get(slotKey(call, attempt));
  }

  /** Frees the slot of an attempt, or removes its request from the queue. */
  release(call: string, attempt: number, nowMs: number): void {
    const key = slotKey(call, attempt);
    const slot = this.#granted.get(key);
    this.#queued.delete(key);
    if (!slot) return;
    this.#granted.delete(key);
    const serviceMs = nowMs - slot.grantedAtMs;
    this.#averageServiceMs += (serviceMs - this.#averageServiceMs) * NEWEST_SAMPLE_WEIGHT;
  }

  /** Removes and returns the requests that have waited for as long as they may, or all requests while draining. */
  takeExpired(nowMs: number): SlotRequest[] {
    const expired: SlotRequest[] = [];
    for (const [key, { request, arrivedAtMs }] of this.#queued) {
      if (!this.#draining && nowMs - arrivedAtMs < request.patienceMs) continue;
      this.#queued.delete(key);
      expired.push(request);
    }
    return expired;
  }

  #mostUrgent(nowMs: number): QueuedRequest | undefined {
    let best: QueuedRequest | undefined;
    const free = this.#freeKvTokens();
    for (const candidate of this.#queued.values()) {
      if (candidate.request.promptTokens + candidate.request.maxTokens > free) continue;
      if (!best || this.#isMoreUrgent(candidate, best, nowMs)) best = candidate;
    }
    return best;
  }

  #freeKvTokens(): number {
    let used = 0;
    for (const { request } of this.#granted.values()) used += request.promptTokens + request.maxTokens;
    return this.#kvTokens - used;
  }

  #isMoreUrgent(left: QueuedRequest, right: QueuedRequest, nowMs: number): boolean {
    const leftRank = this.#agedRank(left, nowMs);
    const rightRank = this.#agedRank(right, nowMs);
    if (leftRank !== rightRank) return leftRank < rightRank;
    const leftSlack = slackOf(left, nowMs);
    const rightSlack = slackOf(right, nowMs);
    if (leftSlack !== rightSlack) return leftSlack < rightSlack;
    return attainedPerWeight(left) < attainedPerWeight(right);
  }

  #agedRank({ request, arrivedAtMs }: QueuedRequest, nowMs: number): number {
    const rank = PRIORITY_CLASSES.indexOf(request.priorityClass);
    return rank - Math.floor((nowMs - arrivedAtMs) / this.#agingStepMs);
  }
}

function slackOf({ request, arrivedAtMs }: QueuedRequest, nowMs: number): number {
  if (request.slackMs === undefined) return Number.POSITIVE_INFINITY;
  return request.slackMs - (nowMs - arrivedAtMs);
}

function attainedPerWeight({ request }: QueuedRequest): number {
  return request.attainedServiceMs / request.weight;
}
