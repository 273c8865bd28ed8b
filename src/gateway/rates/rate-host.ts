/**
 * Admits requests of tenants for all gateways: those of the partitions that this gateway owns. A tenant's partition is
 * found by its name, and its owner keeps the tenant's bucket in memory. Only an owner that ends as planned leaves what is
 * in the buckets to the next one, in the row by which it lets go: a tenant below its limit must not notice a restart.
 */
import {
  type RateHandOver,
  RateLedger,
  type RateStart,
  type RateTolerance,
} from "../../coordination/request-rate/index.ts";
import { delay, repeat } from "../../runtime/clock.ts";
import { RedirectSignal, type RpcEndpoint } from "../../runtime/rpc.ts";
import type { Sender } from "../../runtime/transport.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { AdmitRequestsRequest, AdmitRequestsResponse, GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { PartitionHost, PartitionOwnership } from "../partitions/partition-host.ts";
import { decodeOwner } from "../partitions/partition-rows.ts";
import { readOwnerRow } from "../partitions/read-owner-row.ts";
import { Standstill } from "../standstill.ts";
import type { RateGrounds } from "./rate-grounds.ts";

/**
 * How long after a take-over the owner before may still admit requests, in ms, unless its process is known to have ended:
 * until it misses the heartbeats of those that it no longer reaches, and admits only its share (1,250 ms), and for one
 * relayed heartbeat more.
 */
const DOUBT_MS = 2_000;
const TIDY_MS = 500;
/** How long the store may take to say whose a partition is, in ms: callers wait for it. */
const CONFIRM_MS = 250;

/** How the buckets of a partition begin, and why so. */
interface GroundedStart {
  readonly grounds: RateGrounds;
  readonly start: RateStart;
}

/** The ledger of a partition, and the ownership that it is for. */
interface PartitionLedger {
  readonly epoch: number;
  readonly ledger: RateLedger;
  /** The owner before, as long as it may still admit requests; undefined if there is none, or it has ended. */
  readonly rival: string | undefined;
  /** Whether it was handed over: nothing more is admitted. */
  readonly isClosed: boolean;
}

/** See the module's comment. */
export class RateHost {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #partitions: PartitionHost;
  readonly #ledgers = new Map<number, PartitionLedger>();
  readonly #standstill: Standstill;
  /** When this process was found to have stood still last. */
  #stoodStillAtMs = Number.NEGATIVE_INFINITY;
  /** Since when partitions are known to be owned here still, or their limits were begun anew. */
  readonly #sureSinceMs = new Map<number, number>();
  readonly #confirming = new Map<number, Promise<void>>();

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    partitions: PartitionHost,
    rpc: RpcEndpoint<GatewayRpcSchema>,
  ) {
    this.#context = context;
    this.#members = members;
    this.#partitions = partitions;
    this.#standstill = new Standstill(context.settings.timing.suspectMs);
    partitions.handOverRates = (partition) => this.#handOver(partition);
    rpc.handle("admitRequests", (request, from) => this.#admit(request, from));
  }

  start(): void {
    repeat(this.#context.clock, TIDY_MS, () => this.#tidy());
  }

  async #admit(request: AdmitRequestsRequest, from: Sender): Promise<AdmitRequestsResponse> {
    const { partition, tenant, wanted, limit, limitVersion, question: number } = request;
    this.#noticePause();
    while (this.#isUnsure(partition)) await this.#confirmOnce(partition);
    const { ledger, isClosed } = this.#ledgerOf(partition);
    if (isClosed) throw new RedirectSignal(this.#partitions.ownerOf(partition));
    const question = number === undefined ? undefined : { asker: from.instance, number };
    const demand = { subject: tenant, wanted, limit, limitVersion, question };
    return ledger.take(demand, this.#members.reachedShare, this.#context.clock.monotonicMs());
  }

  /** What is handed over counts only if the owner's row has not changed: nobody has to ask whether it has. */
  #handOver(partition: number): RateHandOver {
    const known = this.#ledgerOf(partition);
    this.#ledgers.set(partition, { ...known, isClosed: true });
    return known.ledger.handOver(this.#context.clock.monotonicMs());
  }

  #ledgerOf(partition: number): PartitionLedger {
    const ownership = this.#partitions.ownership(partition);
    if (!ownership) throw new RedirectSignal(this.#partitions.ownerOf(partition));
    const { epoch } = ownership;
    const known = this.#ledgers.get(partition);
    if (known?.epoch === epoch) return this.#withoutDoubt(partition, known);
    const { grounds, start } = this.#startOf(ownership);
    const ledger = new RateLedger(this.#tolerance, start);
    this.#logStart(partition, epoch, grounds);
    const begun = { epoch, ledger, rival: ownership.unreleasedOwner, isClosed: false };
    this.#ledgers.set(partition, begun);
    return begun;
  }

  #startOf({ isReleased, rates, unreleasedOwner: rival, takenOverAtMs }: PartitionOwnership): GroundedStart {
    if (rates) return { grounds: "handed over", start: RateLedger.handedOver(rates, takenOverAtMs) };
    if (isReleased) return { grounds: "released", start: RateLedger.after(takenOverAtMs) };
    if (rival === undefined) return { grounds: "first", start: RateLedger.first() };
    const endedMs = this.#members.endedByMs(rival);
    if (endedMs !== undefined) return { grounds: "ended", start: RateLedger.after(endedMs) };
    return { grounds: "doubt", start: RateLedger.after(takenOverAtMs + DOUBT_MS) };
  }

  #logStart(partition: number, epoch: number, grounds: RateGrounds): void {
    this.#context.log.info({ partition, epoch, grounds }, "limits begin");
  }

  /** The owner before may be known to have ended only after the take-over: when all start at once, most are. */
  #withoutDoubt(partition: number, known: PartitionLedger): PartitionLedger {
    const endedMs = known.rival === undefined ? undefined : this.#members.endedByMs(known.rival);
    if (endedMs === undefined) return known;
    known.ledger.endDoubt(endedMs, this.#context.clock.monotonicMs());
    const certain = { ...known, rival: undefined };
    this.#ledgers.set(partition, certain);
    return certain;
  }

  get #tolerance(): RateTolerance {
    return this.#context.settings.requestLimits;
  }

  /** A process that stood still may have successors that it has not heard of. */
  #noticePause(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (this.#standstill.look(nowMs)) this.#stoodStillAtMs = nowMs;
  }

  /** Whether a partition that this gateway takes for its own may have gone to another one while it stood still. */
  #isUnsure(partition: number): boolean {
    const ownership = this.#partitions.ownership(partition);
    if (!ownership) return false;
    const confirmedMs = this.#sureSinceMs.get(partition) ?? Number.NEGATIVE_INFINITY;
    return Math.max(confirmedMs, ownership.takenOverAtMs) < this.#stoodStillAtMs;
  }

  #confirmOnce(partition: number): Promise<void> {
    const known = this.#confirming.get(partition);
    if (known) return known;
    const confirming = this.#confirm(partition).finally(() => this.#confirming.delete(partition));
    this.#confirming.set(partition, confirming);
    return confirming;
  }

  /**
   * Asks the store whose a partition is: as long as it is this gateway's, nobody else has admitted anything, and the limits go
   * on. Where the store does not say so, they begin as with a new owner.
   */
  async #confirm(partition: number): Promise<void> {
    const { clock, platform, instance, log } = this.#context;
    const askedAtMs = clock.monotonicMs();
    const late = delay(clock, CONFIRM_MS).then(() => undefined);
    const reading = await Promise.race([readOwnerRow(platform.store, partition), late]);
    const row = reading?.row;
    const isOwner = row !== undefined && decodeOwner(row.value)?.instance === instance;
    this.#sureSinceMs.set(partition, askedAtMs);
    if (isOwner) return log.info({ partition }, "limits go on after a standstill");
    const ownership = this.#partitions.ownership(partition);
    if (!ownership) return;
    const { epoch } = ownership;
    const nowMs = clock.monotonicMs();
    const ledger = new RateLedger(this.#tolerance, RateLedger.after(nowMs + DOUBT_MS));
    const isClosed = this.#ledgers.get(partition)?.isClosed ?? false;
    this.#ledgers.set(partition, { epoch, ledger, rival: undefined, isClosed });
    this.#logStart(partition, epoch, "standstill");
  }

  #tidy(): void {
    this.#noticePause();
    const nowMs = this.#context.clock.monotonicMs();
    for (const [partition, { epoch, ledger }] of this.#ledgers) {
      if (this.#partitions.ownership(partition)?.epoch === epoch) ledger.forgetIdle(nowMs);
      else this.#ledgers.delete(partition);
    }
  }
}
