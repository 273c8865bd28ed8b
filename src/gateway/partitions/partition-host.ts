/**
 * The partitions that this gateway owns. When the owner of a partition is gone, the gateway preferred by rendezvous
 * hashing takes it over. If several gateways try, the conditional write of the owner row in the store lets only one
 * win.
 */

import {
  type OwnerCandidate,
  OwnershipMap,
  preferredOwner,
} from "../../coordination/partition-ownership/index.ts";
import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import type { StoredAccount } from "../../coordination/token-account/index.ts";
import type { StoredRow } from "../../ports/store/row-store.ts";
import { delay, repeat } from "../../runtime/clock.ts";
import { RedirectSignal, type RpcEndpoint } from "../../runtime/rpc.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  EndTurnRequest,
  FindTurnResponse,
  GatewayRpcSchema,
  RetainedTurnContent,
} from "../gateway-messages.ts";
import type { Member } from "../members/member.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import { UnreadableRowReporter } from "../store/unreadable-row-reporter.ts";
import type { StoreHealth } from "../store-health.ts";
import { MOVED, OwnedPartition, type StoredAccounts } from "./owned-partition.ts";
import {
  decodeAccount,
  decodeOwner,
  encodeOwner,
  NO_OWNER,
  type OwnerRow,
  ownerKey,
  storePartOf,
  TABLES,
} from "./partition-rows.ts";
import { ProgramLimit } from "./program-limit.ts";
import { readOwnerRow } from "./read-owner-row.ts";
import { TransactionSender } from "./transaction-sender.ts";
import { TurnCache } from "./turn-cache.ts";
import { TurnFinder } from "./turn-finder.ts";
import { TurnWriter } from "./turn-writer.ts";

const FIRST_COMMIT = 0;
/** Placeholder for the owner in a row that can't be decoded. That owner may still be running. */
const UNKNOWN_OWNER = "?";
/**
 * How long the response to an `endTurn` request may be delayed to be sent with other messages, in ms. Only the ends of
 * retained turns are waited for. The sender retries when it loses the connection to this gateway, or after a much
 * longer time.
 */
const MAX_END_TURN_ANSWER_DELAY_MS = 5_000;
/** Size limit, in bytes, of the cache of turns that were answered through this gateway. */
const MAX_ANSWERED_TURN_BYTES = 4 * 1024 * 1024;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Fractions of the process's memory for the retained turns and for the programs of all partitions that it owns. */
const TURN_CACHE_FRACTION = 0.05;
const PROGRAMS_FRACTION = 0.05;

/** How the previous owner left a partition. */
interface PreviousOwnership {
  /** Whether the previous owner released the partition. */
  readonly isReleased: boolean;
  /** Remaining rate limits of tenants, handed over by the previous owner. */
  readonly rates: RateHandOver | undefined;
  /**
   * The previous owner's instance if it has not released the partition. It may still be running and act as owner.
   * Undefined if the previous owner released the partition, or if there was none.
   */
  readonly unreleasedOwner: string | undefined;
}

/** How and when this gateway took over a partition. */
export interface PartitionOwnership extends PreviousOwnership {
  /** Version of the owner row that this owner wrote when it took over. */
  readonly epoch: number;
  /** Time of the takeover on the monotonic clock, in ms. */
  readonly takenOverAtMs: number;
}

/** Claims partitions without a live owner, and handles the requests to partitions that this gateway owns. */
export class PartitionHost {
  readonly #owners = new OwnershipMap();
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #health: StoreHealth;
  readonly #owned = new Map<number, OwnedPartition>();
  readonly #ownerships = new Map<number, PartitionOwnership>();
  readonly #claiming = new Set<number>();
  /**
   * Claims that this gateway sent but that have not led to ownership. The store may have accepted a claim whose
   * response was lost, or the accounts could not be read after it.
   */
  readonly #unconfirmedClaims = new Map<number, PreviousOwnership>();
  readonly #turnWriter: TurnWriter;
  readonly #finder: TurnFinder;
  /** Turns that callers received through this gateway. The partition's owner may need them while the store is down. */
  readonly #answeredTurns = new TurnCache(MAX_ANSWERED_TURN_BYTES);
  readonly #turnCache: TurnCache;
  readonly #programLimit: ProgramLimit;
  /**
   * Returns the remaining rate limits of a partition's tenants. This gateway admits none of their requests after the
   * call.
   */
  handOverRates: (partition: number) => RateHandOver | undefined = () => undefined;
  readonly #unreadableOwners: UnreadableRowReporter;
  readonly #unreadableAccounts: UnreadableRowReporter;
  #claimAfterMs = 0;
  #stopClaiming: () => void = () => undefined;
  #isStopping = false;

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    health: StoreHealth,
    rpc: RpcEndpoint<GatewayRpcSchema>,
  ) {
    this.#context = context;
    this.#members = members;
    this.#health = health;
    this.#unreadableOwners = new UnreadableRowReporter(context, TABLES.owners);
    this.#unreadableAccounts = new UnreadableRowReporter(context, TABLES.accounts);
    const memoryBytes = context.settings.buffers.memoryMb * BYTES_PER_MEGABYTE;
    this.#turnCache = new TurnCache(memoryBytes * TURN_CACHE_FRACTION);
    this.#programLimit = new ProgramLimit(memoryBytes * PROGRAMS_FRACTION);
    this.#turnWriter = new TurnWriter(context, new TransactionSender(context, health));
    this.#finder = new TurnFinder({
      context,
      rpc,
      peers: () => members.liveAddresses(),
      findLocally: (turn) => this.#findTurnLocally(turn),
    });
    rpc.handle("admitTurn", async (request) => {
      const answer = await this.#requireOwned(request.partition).admit(request);
      return answer === MOVED ? this.#redirect(request.partition) : answer;
    });
    const responseOptions = {
      maxDelayMs: ({ retained }: EndTurnRequest) => (retained ? 0 : MAX_END_TURN_ANSWER_DELAY_MS),
    };
    rpc.handle(
      "endTurn",
      async (request) => {
        const answer = this.#requireOwned(request.partition).end(request);
        return answer === MOVED ? this.#redirect(request.partition) : answer;
      },
      responseOptions,
    );
  }

  /** Returns the instance that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    if (this.#owned.has(partition)) return this.#context.instance;
    return this.#owners.owner(partition)?.instance;
  }

  /** Returns how this gateway took over a partition; undefined if it does not own it. */
  ownership(partition: number): PartitionOwnership | undefined {
    return this.#ownerships.get(partition);
  }

  /** Forgets an owner that has redirected a request because it does not own the partition. */
  forgetOwner(partition: number, instance: string): void {
    this.#owners.forget(partition, instance);
  }

  /**
   * Writes a turn that ended at this gateway to the store, whichever gateway owns its program's partition. Resolves
   * with true once the store has it: it then survives the loss of any gateway.
   */
  async storeTurn(turn: RequestId, content: RetainedTurnContent, timeoutMs: number): Promise<boolean> {
    const isStored = await this.#turnWriter.write(turn, content, timeoutMs);
    if (isStored) this.#answeredTurns.add(turn, content);
    return isStored;
  }

  /** Partitions owned by this gateway with their epochs, for the heartbeat. */
  get owned(): [number, number][] {
    return [...this.#owned.values()].map(({ partition, epoch }) => [partition, epoch]);
  }

  /** Memory of the programs of all owned partitions, in bytes. */
  get programBytes(): number {
    return this.#programLimit.bytes;
  }

  /** Memory of the cached turns of all owned partitions, in bytes. */
  get cachedTurnBytes(): number {
    return this.#turnCache.bytes;
  }

  start(): void {
    const { clock, settings } = this.#context;
    this.#claimAfterMs = clock.monotonicMs() + settings.timing.settleInMs;
    this.#stopClaiming = repeat(clock, settings.timing.claimMs, () => this.#claimOrphans());
  }

  /** Releases all partitions. Resolves when the releases are recorded in the store. */
  async release(): Promise<void> {
    this.#isStopping = true;
    this.#stopClaiming();
    const owned = [...this.#owned.values()];
    await Promise.all(owned.map((one) => one.release(() => this.handOverRates(one.partition))));
  }

  /** Records which partitions another gateway owns, and stops owning those that it took over with a newer epoch. */
  learn(member: Member): void {
    const { owned } = member.status;
    this.#owners.recordAllOwned(member.instance, owned);
    for (const [partition, epoch] of owned) {
      const ownedHere = this.#owned.get(partition);
      if (ownedHere && ownedHere.epoch < epoch) ownedHere.stop();
    }
  }

  /** Forgets the ownerships of a gateway that is gone. */
  forget(member: Member): void {
    this.#owners.forgetInstance(member.instance);
  }

  #requireOwned(partition: number): OwnedPartition {
    const owned = this.#owned.get(partition);
    if (!owned) return this.#redirect(partition);
    return owned;
  }

  #redirect(partition: number): never {
    throw new RedirectSignal(this.ownerOf(partition));
  }

  #claimOrphans(): void {
    const { clock, settings } = this.#context;
    const nowMs = clock.monotonicMs();
    if (this.#isStopping || (nowMs < this.#claimAfterMs && !this.#members.hasSettled)) return;
    const candidates = this.#members.ownerCandidates();
    for (let partition = 0; partition < settings.partitions; partition += 1) {
      if (!this.#isOrphan(partition)) continue;
      if (this.#isPreferred(partition, candidates)) void this.#claim(partition);
    }
  }

  #isPreferred(partition: number, candidates: readonly OwnerCandidate[]): boolean {
    return preferredOwner(partition, candidates) === this.#context.settings.name;
  }

  #isOrphan(partition: number): boolean {
    if (this.#owned.has(partition) || this.#claiming.has(partition)) return false;
    return !this.#hasLiveOwner(partition);
  }

  async #claim(partition: number): Promise<void> {
    this.#claiming.add(partition);
    const ownership = await this.#claimOwnerRow(partition);
    const accounts = ownership && (await this.#readAccounts(partition, ownership.epoch));
    if (ownership && accounts && !this.#isStopping) this.#startOwning(partition, ownership, accounts);
    this.#claiming.delete(partition);
  }

  /**
   * Writes this gateway to the owner row. Returns undefined if another gateway may own the partition or the write
   * fails.
   */
  async #claimOwnerRow(partition: number): Promise<PartitionOwnership | undefined> {
    const { store } = this.#context.platform;
    const key = ownerKey(partition);
    const read = await this.#readOwnerRow(partition);
    if (!read) return undefined;
    const { row } = read;
    const mayBeOwned = this.#mayNameLiveOwner(row) || !this.#members.hearsMost;
    if (mayBeOwned) {
      if (await this.#isOwnerWriting(partition, row)) return undefined;
      // Check again, since other gateways may have become known meanwhile. Without this, a gateway that starts before
      // all others would claim every partition.
      if (!this.#isPreferred(partition, this.#members.ownerCandidates())) return undefined;
    }
    // A gateway that the row names but that does not report the partition as its own never learned that its claim
    // succeeded, so only owners that report it count.
    if (this.#hasLiveOwner(partition)) return undefined;
    const previousOwnership = this.#previousOwnership(partition, row);
    this.#unconfirmedClaims.set(partition, previousOwnership);
    const owner = { instance: this.#context.instance, commit: FIRST_COMMIT };
    const outcome = await store.transact({
      conditions: [{ ...key, version: row?.version ?? 0 }],
      puts: [{ ...key, value: encodeOwner(owner) }],
      removes: [],
    });
    this.#health.recordOutcome(outcome);
    if (outcome.type !== "committed") return undefined;
    return {
      ...previousOwnership,
      epoch: outcome.version,
      takenOverAtMs: this.#context.clock.monotonicMs(),
    };
  }

  /**
   * Returns how the previous owner left the partition, from the owner row to be replaced. If that row is from an
   * earlier claim of this gateway, returns what was found at that claim.
   */
  #previousOwnership(partition: number, row: StoredRow | undefined): PreviousOwnership {
    const lastOwner = row && this.#decodeOwner(row);
    const unconfirmedClaim = this.#unconfirmedClaims.get(partition);
    if (unconfirmedClaim && lastOwner?.instance === this.#context.instance) return unconfirmedClaim;
    const previousOwner = row && (lastOwner?.instance ?? UNKNOWN_OWNER);
    const isReleased = previousOwner === NO_OWNER;
    return { isReleased, rates: lastOwner?.rates, unreleasedOwner: isReleased ? undefined : previousOwner };
  }

  async #readOwnerRow(partition: number): Promise<{ readonly row: StoredRow | undefined } | undefined> {
    const { outcome, row } = await readOwnerRow(this.#context.platform.store, partition);
    this.#health.recordOutcome(outcome);
    return outcome.type === "rows" ? { row } : undefined;
  }

  /**
   * Whether the owner row changes while it is watched, or can't be read again. A gateway that hears few others may
   * itself be the one that is cut off, so it takes nothing from an owner that still writes to the store.
   */
  async #isOwnerWriting(partition: number, row: StoredRow | undefined): Promise<boolean> {
    const { clock, settings } = this.#context;
    await delay(clock, settings.timing.watchOwnerMs);
    const again = await this.#readOwnerRow(partition);
    return !again || again.row?.version !== row?.version;
  }

  /** Whether the row names another gateway that may be alive, or can't be decoded. */
  #mayNameLiveOwner(row: StoredRow | undefined): boolean {
    if (!row) return false;
    const owner = this.#decodeOwner(row);
    if (!owner) return true;
    return owner.instance !== this.#context.instance && this.#members.mayOwn(owner.instance);
  }

  /** Decodes an owner row. Reports it and returns undefined if it can't be decoded. */
  #decodeOwner(row: StoredRow): OwnerRow | undefined {
    const owner = decodeOwner(row.value);
    if (!owner) this.#unreadableOwners.report(row.part);
    return owner;
  }

  /** Whether a gateway that may be alive reports that it owns the partition. */
  #hasLiveOwner(partition: number): boolean {
    const owner = this.ownerOf(partition);
    return owner !== undefined && this.#members.mayOwn(owner);
  }

  async #readAccounts(partition: number, epoch: number): Promise<StoredAccounts | undefined> {
    const accounts = new Map<ProgramId, StoredAccount>();
    const unreadable = new Set<ProgramId>();
    let from: string | undefined;
    for (;;) {
      const range = {
        table: TABLES.accounts,
        part: storePartOf(partition),
        ...(from === undefined ? {} : { from }),
      };
      const read = await this.#context.platform.store.read(range);
      this.#health.recordOutcome(read);
      if (read.type !== "rows" || read.version < epoch) return undefined;
      for (const { key, value } of read.rows) {
        const account = decodeAccount(value);
        if (account) accounts.set(key as ProgramId, account);
        else unreadable.add(key as ProgramId);
      }
      const last = read.rows.at(-1);
      if (!read.more || !last) return this.#reportUnreadable({ accounts, unreadable });
      from = `${last.key}\u0000`;
    }
  }

  #reportUnreadable(stored: StoredAccounts): StoredAccounts {
    for (const program of stored.unreadable) this.#unreadableAccounts.report(program);
    return stored;
  }

  #startOwning(partition: number, ownership: PartitionOwnership, stored: StoredAccounts): void {
    const { log, instance } = this.#context;
    const { epoch, isReleased } = ownership;
    const owned: OwnedPartition = new OwnedPartition(
      {
        context: this.#context,
        health: this.#health,
        partition,
        epoch,
        findTurn: (turn) => this.#finder.find(turn),
        turnCache: this.#turnCache,
        programLimit: this.#programLimit,
        onLost: () => this.#onLost(owned),
      },
      stored,
    );
    this.#unconfirmedClaims.delete(partition);
    this.#owned.set(partition, owned);
    this.#ownerships.set(partition, ownership);
    this.#owners.recordOwner(partition, { instance, epoch });
    log.info({ partition, epoch, isReleased, programs: stored.accounts.size }, "partition taken over");
    this.#members.tick();
  }

  #onLost(owned: OwnedPartition): void {
    if (this.#owned.get(owned.partition) === owned) {
      this.#owned.delete(owned.partition);
      this.#ownerships.delete(owned.partition);
    }
    owned.forgetPrograms();
    this.#owners.forget(owned.partition, this.#context.instance);
    this.#context.log.info({ partition: owned.partition, epoch: owned.epoch }, "partition released");
  }

  /** Looks up a turn in this gateway's memory: among the turns of owned partitions, and those answered here. */
  #findTurnLocally(turn: RequestId): FindTurnResponse {
    const content = this.#turnCache.get(turn) ?? this.#answeredTurns.get(turn);
    return content ? { type: "found", content } : { type: "absent" };
  }
}
