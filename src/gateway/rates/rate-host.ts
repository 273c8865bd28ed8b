/**
 * Admits tenants' requests on behalf of all gateways, for the partitions that this gateway owns. A tenant's name determines
 * its partition, and the partition's owner keeps the tenant's token bucket in memory. Only an owner that stops as planned
 * hands over the contents of its buckets, in the row by which it releases the partition: a tenant below its limit must not
 * notice a restart.
 */
import {
  type InitialRateState,
  type RateHandOver,
  RateLimiter,
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
import { PauseDetector } from "../pause-detector.ts";
import type { RateStartGrounds } from "./rate-start-grounds.ts";

/**
 * How long after a takeover the previous owner may still admit requests, in ms, unless its process is known to have ended:
 * until it misses the heartbeats of the gateways that it no longer reaches, and admits only its share (1,250 ms), plus one
 * relayed heartbeat.
 */
const DOUBT_MS = 2_000;
const CLEANUP_INTERVAL_MS = 500;
/** Timeout for reading a partition's owner from the store, in ms: callers wait for it. */
const CONFIRM_TIMEOUT_MS = 250;

/** The initial state of a partition's buckets, and the reason for it. */
interface LedgerStart {
  readonly grounds: RateStartGrounds;
  readonly start: InitialRateState;
}

/** The ledger of a partition, for one epoch of its ownership. */
interface PartitionLedger {
  readonly epoch: number;
  readonly ledger: RateLimiter;
  /** The previous owner, as long as it may still admit requests; undefined if there was none, or it has ended. */
  readonly previousOwner: string | undefined;
  /** Whether the ledger was handed over, so that nothing more is admitted. */
  readonly isClosed: boolean;
}

export class RateHost {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #partitions: PartitionHost;
  readonly #ledgers = new Map<number, PartitionLedger>();
  readonly #standstill: PauseDetector;
  /** When a pause of this process was last detected. */
  #lastStandstillAtMs = Number.NEGATIVE_INFINITY;
  /** When ownership was last checked with the store, by partition: the ledger was then confirmed or replaced. */
  readonly #ownershipCheckedAtMs = new Map<number, number>();
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
    this.#standstill = new PauseDetector(context.settings.timing.suspectMs);
    partitions.handOverRates = (partition) => this.#handOver(partition);
    rpc.handle("admitRequests", (request, from) => this.#admit(request, from));
  }

  start(): void {
    repeat(this.#context.clock, CLEANUP_INTERVAL_MS, () => this.#cleanUp());
  }

  async #admit(request: AdmitRequestsRequest, from: Sender): Promise<AdmitRequestsResponse> {
    const { partition, tenant, wanted, limit, limitVersion, question: number } = request;
    this.#checkStandstill();
    while (this.#needsConfirmation(partition)) await this.#confirmOnce(partition);
    const { ledger, isClosed } = this.#ledgerOf(partition);
    if (isClosed) throw new RedirectSignal(this.#partitions.ownerOf(partition));
    const requestId = number === undefined ? undefined : { client: from.instance, number };
    const demand = { subject: tenant, wanted, limit, limitVersion, requestId };
    return ledger.take(demand, this.#members.reachedShare, this.#context.clock.monotonicMs());
  }

  /** Closes a ledger and returns its contents. They count only if the owner's row is unchanged, so nothing is checked here. */
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
    if (known?.epoch === epoch) return this.#resolveDoubt(partition, known);
    const { grounds, start } = this.#startFor(ownership);
    const ledger = new RateLimiter(this.#tolerance, start);
    this.#logStart(partition, epoch, grounds);
    const created = { epoch, ledger, previousOwner: ownership.unreleasedOwner, isClosed: false };
    this.#ledgers.set(partition, created);
    return created;
  }

  #startFor({ isReleased, rates, unreleasedOwner: rival, takenOverAtMs }: PartitionOwnership): LedgerStart {
    if (rates) return { grounds: "handed over", start: RateLimiter.stateFromHandOver(rates, takenOverAtMs) };
    if (isReleased) return { grounds: "released", start: RateLimiter.stateWithoutHandOver(takenOverAtMs) };
    if (rival === undefined) return { grounds: "first", start: RateLimiter.firstOwnerState() };
    const endedMs = this.#members.endedByMs(rival);
    if (endedMs !== undefined) return { grounds: "ended", start: RateLimiter.stateWithoutHandOver(endedMs) };
    return { grounds: "doubt", start: RateLimiter.stateWithoutHandOver(takenOverAtMs + DOUBT_MS) };
  }

  #logStart(partition: number, epoch: number, grounds: RateStartGrounds): void {
    this.#context.log.info({ partition, epoch, grounds }, "limits begin");
  }

  /** The end of the previous owner may become known only after the takeover: typical when all gateways start at once. */
  #resolveDoubt(partition: number, known: PartitionLedger): PartitionLedger {
    const endedMs =
      known.previousOwner === undefined ? undefined : this.#members.endedByMs(known.previousOwner);
    if (endedMs === undefined) return known;
    known.ledger.endOverlap(endedMs, this.#context.clock.monotonicMs());
    const resolved = { ...known, previousOwner: undefined };
    this.#ledgers.set(partition, resolved);
    return resolved;
  }

  get #tolerance(): RateTolerance {
    return this.#context.settings.requestLimits;
  }

  /** Detects that this process was paused: other gateways may have taken over its partitions without its knowledge. */
  #checkStandstill(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (this.#standstill.detectPause(nowMs)) this.#lastStandstillAtMs = nowMs;
  }

  /** Whether a partition that this gateway considers its own may have been taken over during a pause of this process. */
  #needsConfirmation(partition: number): boolean {
    const ownership = this.#partitions.ownership(partition);
    if (!ownership) return false;
    const checkedAtMs = this.#ownershipCheckedAtMs.get(partition) ?? Number.NEGATIVE_INFINITY;
    return Math.max(checkedAtMs, ownership.takenOverAtMs) < this.#lastStandstillAtMs;
  }

  #confirmOnce(partition: number): Promise<void> {
    const known = this.#confirming.get(partition);
    if (known) return known;
    const confirming = this.#confirmOwnership(partition).finally(() => this.#confirming.delete(partition));
    this.#confirming.set(partition, confirming);
    return confirming;
  }

  /**
   * Reads the owner of a partition from the store. If it is still this gateway, no other has admitted anything, and the
   * ledger stays valid. Unless the store confirms that, the ledger is replaced by one that starts as with a new owner.
   */
  async #confirmOwnership(partition: number): Promise<void> {
    const { clock, platform, instance, log } = this.#context;
    const askedAtMs = clock.monotonicMs();
    const timeout = delay(clock, CONFIRM_TIMEOUT_MS).then(() => undefined);
    const reading = await Promise.race([readOwnerRow(platform.store, partition), timeout]);
    const row = reading?.row;
    const isOwner = row !== undefined && decodeOwner(row.value)?.instance === instance;
    this.#ownershipCheckedAtMs.set(partition, askedAtMs);
    if (isOwner) return log.info({ partition }, "limits kept after a standstill");
    const ownership = this.#partitions.ownership(partition);
    if (!ownership) return;
    const { epoch } = ownership;
    const nowMs = clock.monotonicMs();
    const ledger = new RateLimiter(this.#tolerance, RateLimiter.stateWithoutHandOver(nowMs + DOUBT_MS));
    const isClosed = this.#ledgers.get(partition)?.isClosed ?? false;
    this.#ledgers.set(partition, { epoch, ledger, previousOwner: undefined, isClosed });
    this.#logStart(partition, epoch, "standstill");
  }

  #cleanUp(): void {
    this.#checkStandstill();
    const nowMs = this.#context.clock.monotonicMs();
    for (const [partition, { epoch, ledger }] of this.#ledgers) {
      if (this.#partitions.ownership(partition)?.epoch === epoch) ledger.forgetIdle(nowMs);
      else this.#ledgers.delete(partition);
    }
  }
}
