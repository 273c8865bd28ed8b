import type { RequestSlot, RunnerLoad, SlotRefused } from "../../messages/slot-messages.ts";
import type { EngineClient, EngineLoad } from "../../ports/engine/engine-client.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import { RunnerQueue } from "../../scheduling/queue/runner-queue.ts";
import { type SlotRequest, slotKey } from "../../scheduling/queue/slot-request.ts";
import type { NodeContext } from "../node-context.ts";

/** Load is announced anew when the expected wait has moved to another of these steps, in ms. */
const WAIT_BUCKETS_MS = [0, 50, 200, 500, 1_000, 2_000, 5_000, 10_000];

/** Reports that an engine may fail to give before it gets no more work; the platform may list it long after it died. */
const MAX_FAILED_REPORTS = 2;

/** What a home needs from its node. */
export interface RunnerHomePort {
  /** Whether the platform's list is fresh enough to trust. */
  isListFresh(): boolean;
  /** The load of this node's runners, to travel with an answer. */
  currentLoad(): readonly RunnerLoad[];
  /** Whether the configuration says that the runner takes no more work. */
  isDrainedByOperator(runner: string): boolean;
  /** The runner's load has changed noticeably. */
  onLoadChanged(): void;
}

/**
 * The home of one runner: the only giver of its slots. It exists while this node leads the shard that the runner's
 * name falls on, and that shard's term is the fencing token: a home that was overtaken unawares gives grants that
 * the engine refuses.
 */
export class RunnerHome {
  readonly fencingToken: number;
  readonly #context: NodeContext;
  readonly #engine: EngineClient;
  readonly #port: RunnerHomePort;
  readonly #queue: RunnerQueue;
  readonly #requesters = new Map<string, string>();
  #machine: Machine;
  #engineLeaving = false;
  /** Reports in a row that the engine did not give. */
  #failedReports = 0;
  #announcedBucket = -1;
  #reconciling = false;

  constructor(
    context: NodeContext,
    engine: EngineClient,
    port: RunnerHomePort,
    machine: Machine,
    fencingToken: number,
  ) {
    this.#context = context;
    this.#engine = engine;
    this.#port = port;
    this.#machine = machine;
    this.fencingToken = fencingToken;
    this.#queue = new RunnerQueue({ slots: machine.slots, kvTokens: machine.kvTokens });
  }

  /** The runner, as the platform lists it. */
  get machine(): Machine {
    return this.#machine;
  }

  /** The load as others should know it. */
  get load(): RunnerLoad {
    return {
      runner: this.#machine.name,
      fencingToken: this.fencingToken,
      slots: this.#queue.slots,
      expectedWaitMs: Math.round(this.#queue.expectedWaitMs()),
      leaving: this.#queue.draining,
    };
  }

  /** The platform lists the runner anew. */
  updateMachine(machine: Machine): void {
    this.#machine = machine;
    this.#refreshDraining();
  }

  /** A leader asks for a slot. */
  onRequest({ request }: RequestSlot, from: string): void {
    const nowMs = this.#context.clock.monotonicMs();
    const granted = this.#queue.slotOf(request.call, request.attempt);
    if (granted) return this.#sendGrant(request, from, granted.waitedMs);
    this.#refreshDraining();
    if (!this.#queue.offer(request, nowMs)) {
      return this.#refuse(request, from, this.#queue.draining ? "leaving" : "full");
    }
    this.#requesters.set(slotKey(request.call, request.attempt), from);
    this.#grantNext();
    if (!this.#queue.slotOf(request.call, request.attempt)) this.#sendQueued(request, from);
    this.#announceIfChanged();
  }

  /** A leader is done with a slot, or no longer wants one. */
  onRelease(call: string, attempt: number): void {
    this.#queue.release(call, attempt, this.#context.clock.monotonicMs());
    this.#requesters.delete(slotKey(call, attempt));
    this.#grantNext();
    this.#announceIfChanged();
  }

  /** Lets time pass: refuses what has waited too long and grants what is free. */
  tick(): void {
    this.#refreshDraining();
    for (const request of this.#queue.takeExpired(this.#context.clock.monotonicMs())) {
      const key = slotKey(request.call, request.attempt);
      const requester = this.#requesters.get(key);
      this.#requesters.delete(key);
      if (requester) this.#refuse(request, requester, this.#queue.draining ? "leaving" : "expired");
    }
    this.#grantNext();
    this.#announceIfChanged();
  }

  /** Reads the engine's own report, which corrects what the home believes. */
  async reconcile(): Promise<void> {
    if (this.#reconciling) return;
    this.#reconciling = true;
    try {
      this.#applyReport(await this.#engine.load(this.#machine.address));
      this.#failedReports = 0;
    } catch {
      this.#failedReports += 1;
    } finally {
      this.#reconciling = false;
    }
  }

  #applyReport(report: EngineLoad): void {
    const nowMs = this.#context.clock.monotonicMs();
    const running = new Set(report.running);
    const lapseMs = this.#context.settings.timing.grantLapseMs + report.ageMs;
    for (const { request, grantedAtMs } of [...this.#queue.grantedSlots()]) {
      const known = running.delete(slotKey(request.call, request.attempt));
      if (!known && nowMs - grantedAtMs > lapseMs) this.#queue.release(request.call, request.attempt, nowMs);
    }
    this.#queue.setForeignActive(running.size);
    this.#engineLeaving = report.leaving;
    this.#refreshDraining();
    this.#grantNext();
    this.#announceIfChanged();
  }

  /** A home that cannot see the platform's list must not give out work: the runner may be leaving unseen. */
  #refreshDraining(): void {
    const listIsStale = !this.#port.isListFresh();
    const leaving = this.#machine.state === "leaving" || this.#engineLeaving;
    const unresponsive = this.#failedReports >= MAX_FAILED_REPORTS;
    const drained = this.#port.isDrainedByOperator(this.#machine.name);
    this.#queue.setDraining(leaving || drained || listIsStale || unresponsive);
  }

  #grantNext(): void {
    for (const { request, waitedMs } of this.#queue.grantNext(this.#context.clock.monotonicMs())) {
      const requester = this.#requesters.get(slotKey(request.call, request.attempt));
      if (requester) this.#sendGrant(request, requester, waitedMs);
    }
  }

  #sendGrant(request: SlotRequest, to: string, waitedMs: number): void {
    this.#context.transport.send(to, {
      type: "slotGranted",
      runner: this.#machine.name,
      call: request.call,
      attempt: request.attempt,
      fencingToken: this.fencingToken,
      waitedMs,
      load: this.#port.currentLoad(),
    });
  }

  #sendQueued(request: SlotRequest, to: string): void {
    this.#context.transport.send(to, {
      type: "slotQueued",
      runner: this.#machine.name,
      call: request.call,
      attempt: request.attempt,
      expectedWaitMs: this.#queue.expectedWaitMs(),
    });
  }

  #refuse(request: SlotRequest, to: string, reason: SlotRefused["reason"]): void {
    this.#context.transport.send(to, {
      type: "slotRefused",
      runner: this.#machine.name,
      call: request.call,
      attempt: request.attempt,
      reason,
      retryAfterMs: Math.round(this.#queue.expectedWaitMs()),
      load: this.#port.currentLoad(),
    });
  }

  #announceIfChanged(): void {
    const waitMs = this.#queue.expectedWaitMs();
    const waitBucket = WAIT_BUCKETS_MS.findLastIndex((limitMs) => waitMs >= limitMs);
    const bucket = this.#queue.draining ? WAIT_BUCKETS_MS.length : waitBucket;
    if (bucket === this.#announcedBucket) return;
    this.#announcedBucket = bucket;
    this.#port.onLoadChanged();
  }
}
