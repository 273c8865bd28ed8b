import type { RequestSlot, RunnerLoad, SlotRefused } from "../../messages/slot-messages.ts";
import type { EngineClient, EngineLoad } from "../../ports/engine/engine-client.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import { RunnerQueue } from "../../scheduling/queue/runner-queue.ts";
import { type SlotRequest, slotKey } from "../../scheduling/queue/slot-request.ts";
import type { NodeContext } from "../node-context.ts";

/** Lower bounds of the buckets of the expected wait, in ms. Load is announced when the bucket changes. */
const WAIT_BUCKETS_MS = [0, 50, 200, 500, 1_000, 2_000, 5_000, 10_000];

/**
 * After this many consecutive load reports have failed, the engine gets no more work. The platform may still list an
 * engine long after it has crashed.
 */
const MAX_FAILED_REPORTS = 2;

/** The functions of the node that a runner's home uses. */
export interface RunnerHomePort {
  /** Whether this node's copy of the machine list is recent enough to rely on. */
  isListFresh(): boolean;
  /** Returns the load of all runners whose home is this node. It is attached to responses. */
  currentLoad(): readonly RunnerLoad[];
  /** Whether the configuration marks the runner as draining, so that it gets no more work. */
  isDrainedByOperator(runner: string): boolean;
  /** Called when the runner's load has changed enough to be announced. */
  onLoadChanged(): void;
}

/**
 * The home of one runner: the only place that grants the runner's slots. It exists while this node leads the shard to
 * which the runner's name is hashed. The shard's term is the fencing token, so the engine rejects the grants of a stale
 * home that doesn't know yet that it was replaced.
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
  /** Number of consecutive load reports that failed. */
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

  /** The runner's entry in the machine list. */
  get machine(): Machine {
    return this.#machine;
  }

  /** The load that is announced to other nodes. */
  get load(): RunnerLoad {
    return {
      runner: this.#machine.name,
      fencingToken: this.fencingToken,
      slots: this.#queue.slots,
      expectedWaitMs: Math.round(this.#queue.expectedWaitMs()),
      leaving: this.#queue.draining,
    };
  }

  /** Replaces the runner's entry in the machine list. */
  updateMachine(machine: Machine): void {
    this.#machine = machine;
    this.#refreshDraining();
  }

  /** Handles a shard leader's request for a slot. */
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

  /** Handles the release of a slot, or the cancellation of a request for one. */
  onRelease(call: string, attempt: number): void {
    this.#queue.release(call, attempt, this.#context.clock.monotonicMs());
    this.#requesters.delete(slotKey(call, attempt));
    this.#grantNext();
    this.#announceIfChanged();
  }

  /** Periodic work: refuses requests that have waited too long and grants free slots. */
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

  /** Reads the engine's load report and corrects the home's record of the granted slots. */
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

  /** A home whose machine list is stale must not grant slots, because the runner may be leaving unnoticed. */
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
