/**
 * The partitions that this gateway owns. A gateway takes over a partition whose owner is gone when rendezvous hashing
 * prefers it; the store's condition on the owner's row decides between several.
 */

import { OwnershipMap, preferredOwner } from "../../coordination/partition-ownership/index.ts";
import type { StoredRow } from "../../ports/store/row-store.ts";
import { delay, repeat } from "../../runtime/clock.ts";
import { RedirectSignal, type RpcEndpoint } from "../../runtime/rpc.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema, RetainedTurnContent } from "../gateway-messages.ts";
import type { Member } from "../members/member.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { AccountMirror } from "../replicas/account-mirror.ts";
import { type CollectedCopies, CopyCollector } from "../replicas/copy-collector.ts";
import { PartitionReplicas } from "../replicas/partition-replicas.ts";
import type { RecordCopy } from "../replicas/record-copy.ts";
import type { Replica } from "../replicas/replica.ts";
import { ReplicaHost } from "../replicas/replica-host.ts";
import type { FindTurnResponse } from "../replicas/replica-messages.ts";
import type { StoreHealth } from "../store-health.ts";
import { MOVED, OwnedPartition, type PartitionContent } from "./owned-partition.ts";
import {
  type AccountRow,
  decodeAccount,
  decodeOwner,
  encodeOwner,
  newerAccount,
  ownerKey,
  partOf,
  TABLES,
} from "./partition-rows.ts";
import { TransactionSender } from "./transaction-sender.ts";
import { TurnCache } from "./turn-cache.ts";
import { TurnFinder } from "./turn-finder.ts";
import { TurnWriter } from "./turn-writer.ts";

const FIRST_COMMIT = 0;
/** For how long writes must go unanswered before a replica takes over from a dead owner without the store, in ms. */
const STORE_AWAY_MS = 600;
/**
 * Step from the epoch of an owner to that of one that takes over without the store. Epochs that the store gives are whole
 * and rise with each of its transactions, so that the next owner by the store is newer than all of these.
 */
const EPOCH_STEP = 2 ** -10;
/** Bytes of turns that a gateway keeps because they were answered through it. */
const MAX_ANSWERED_BYTES = 4 * 1024 * 1024;
/** Pause between looks whether partitions need other replicas, in ms: replicas that restart are back by then. */
const RENEW_REPLICAS_MS = 1_000;
/** How long a turn that nobody finds may be one whose copies were lost, in ms: as long as turns are kept by default. */
const LOSS_MATTERS_MS = 60_000;

/** A partition that has just been taken over. */
interface TakenPartition {
  readonly epoch: number;
  /** The replicas that the new owner's row names for it. */
  readonly replicas: readonly Replica[];
  /** Replicas of earlier owners. */
  readonly inherited: readonly (readonly Replica[])[];
  /** The process that the owner's row names where the store was away; undefined where it names this one. */
  readonly rowOwner?: string;
}

/** See the module's comment. */
export class PartitionHost {
  readonly #owners = new OwnershipMap();
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #health: StoreHealth;
  readonly #owned = new Map<number, OwnedPartition>();
  readonly #claiming = new Set<number>();
  readonly #turnWriter: TurnWriter;
  readonly #rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly #collector: CopyCollector;
  readonly #replicaHost: ReplicaHost;
  readonly #finder: TurnFinder;
  /** Turns that this gateway answered its callers: a new owner may need them before the store is back. */
  readonly #answered = new TurnCache(MAX_ANSWERED_BYTES);
  #claimAfterMs = 0;
  /** Until when records may be missing whose copies were lost, in ms of the monotonic clock. */
  #lossMattersUntilMs = 0;
  #stop: () => void = () => undefined;
  #stopRenewing: () => void = () => undefined;
  #stopping = false;

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    health: StoreHealth,
    rpc: RpcEndpoint<GatewayRpcSchema>,
  ) {
    this.#context = context;
    this.#members = members;
    this.#health = health;
    this.#rpc = rpc;
    this.#turnWriter = new TurnWriter(context, new TransactionSender(context, health));
    this.#collector = new CopyCollector(context, rpc, (address) => members.refuses(address));
    this.#replicaHost = new ReplicaHost(context, rpc, (instance) => members.isAlive(instance));
    this.#finder = new TurnFinder({
      context,
      rpc,
      peers: () => members.liveAddresses(),
      findHere: (turn) => this.#findTurnHere(turn),
      allOwned: () => this.#allOwned(),
    });
    rpc.handle("admitTurn", async (request) => {
      const answer = await this.#require(request.partition).admit(request);
      return answer === MOVED ? this.#redirect(request.partition) : answer;
    });
    rpc.handle("endTurn", async (request) => {
      const answer = await this.#require(request.partition).end(request);
      return answer === MOVED ? this.#redirect(request.partition) : answer;
    });
  }

  /** The incarnation that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    if (this.#owned.has(partition)) return this.#context.instance;
    return this.#owners.owner(partition)?.instance;
  }

  /** Forgets an owner that says that it is none. */
  forgetOwner(partition: number, instance: string): void {
    this.#owners.forget(partition, instance);
  }

  /** Remembers a turn that was answered through this gateway, whoever owns its partition. */
  rememberAnswered(turn: RequestId, content: RetainedTurnContent): void {
    this.#answered.add(turn, content);
  }

  /** Partitions owned here, for the heartbeat. */
  get owned(): [number, number][] {
    return [...this.#owned.values()].map(({ partition, epoch }) => [partition, epoch]);
  }

  start(): void {
    const { clock, settings } = this.#context;
    this.#claimAfterMs = clock.monotonicMs() + settings.timing.settleInMs;
    this.#stop = repeat(clock, settings.timing.claimMs, () => this.#claimOrphans());
    this.#stopRenewing = repeat(clock, RENEW_REPLICAS_MS, () => this.#renewReplicas());
  }

  /** Releases all partitions; resolves when the store knows. */
  async release(): Promise<void> {
    this.#stopping = true;
    this.#stop();
    this.#stopRenewing();
    await Promise.all([...this.#owned.values()].map((partition) => partition.release()));
  }

  /** Takes in what another gateway owns. */
  learn(member: Member): void {
    const { owned } = member.status;
    this.#owners.learnAll(member.instance, owned);
    for (const [partition, epoch] of owned) {
      const mine = this.#owned.get(partition);
      if (mine && mine.epoch < epoch) mine.stop();
    }
  }

  /** Forgets what a gateway owned that is gone. */
  forget(member: Member): void {
    this.#owners.forgetInstance(member.instance);
  }

  #require(partition: number): OwnedPartition {
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
    if (this.#stopping || (nowMs < this.#claimAfterMs && !this.#members.hasSettled)) return;
    const candidates = this.#members.ownerCandidates();
    for (let partition = 0; partition < settings.partitions; partition += 1) {
      if (!this.#isOrphan(partition)) continue;
      if (preferredOwner(partition, candidates) === settings.name) void this.#claim(partition);
    }
    if (this.#storeIsAway) this.#succeedOwners();
  }

  #isOrphan(partition: number): boolean {
    if (this.#owned.has(partition) || this.#claiming.has(partition)) return false;
    return !this.#hasLiveOwner(partition);
  }

  get #storeIsAway(): boolean {
    return !this.#health.reachable || this.#health.writesUnansweredMs >= STORE_AWAY_MS;
  }

  /** While the store is away, the first replica that lives takes over from an owner that is dead. */
  #succeedOwners(): void {
    for (const mirror of this.#replicaHost.mirrors) {
      if (!this.#isOrphan(mirror.partition) || this.#members.isAlive(mirror.owner)) continue;
      const first = mirror.groups[0]?.find(({ instance }) => this.#members.isAlive(instance));
      if (first?.instance === this.#context.instance) void this.#succeed(mirror);
    }
  }

  /** Takes a partition over without the store: with a majority of each group of its replicas. */
  async #succeed(mirror: AccountMirror): Promise<void> {
    const { partition, groups, rowOwner } = mirror;
    this.#claiming.add(partition);
    const epoch = this.#replicaHost.epochOf(partition) + EPOCH_STEP;
    const collected = await this.#collector.collect(partition, epoch, groups, true);
    if (collected.type === "collected" && collected.complete && !this.#stopping) {
      const [replicas = [], ...inherited] = groups;
      this.#adopt(partition, { epoch, replicas, inherited, rowOwner }, this.#contentOf(new Map(), collected));
    }
    this.#claiming.delete(partition);
  }

  /** The owner's row names this gateway now, which took over without the store: compares the accounts. */
  async #learnStored(owned: OwnedPartition): Promise<void> {
    for (;;) {
      if (this.#owned.get(owned.partition) !== owned) return;
      const accounts = await this.#readAccounts(owned.partition, owned.epoch);
      if (accounts) return owned.learnStored(accounts);
      await delay(this.#context.clock, this.#context.settings.timing.claimMs);
    }
  }

  async #claim(partition: number): Promise<void> {
    this.#claiming.add(partition);
    const taken = await this.#takeOwnerRow(partition);
    if (taken) {
      const [accounts, collected] = await Promise.all([
        this.#readAccounts(partition, taken.epoch),
        this.#collector.collect(partition, taken.epoch, taken.inherited),
      ]);
      const isOurs = accounts && collected.type === "collected" && !this.#stopping;
      if (isOurs) this.#adopt(partition, taken, this.#contentOf(accounts, collected));
    }
    this.#claiming.delete(partition);
  }

  /** Writes this gateway into the owner's row; undefined if that was not done. */
  async #takeOwnerRow(partition: number): Promise<TakenPartition | undefined> {
    const { store } = this.#context.platform;
    const key = ownerKey(partition);
    const read = await this.#readOwnerRow(partition);
    if (!read) return undefined;
    const { row } = read;
    const isDoubtful = this.#namesOther(row) || !this.#members.hearsMost;
    if (isDoubtful && (await this.#isWritten(partition, row))) return undefined;
    // One that the row names and that does not say so itself has never heard that it took the partition over.
    if (this.#hasLiveOwner(partition)) return undefined;
    const replicas = this.#members.replicasFor(partition);
    const inherited = inheritedReplicas(row);
    const owner = {
      instance: this.#context.instance,
      commit: FIRST_COMMIT,
      replicas: [replicas, ...inherited],
    };
    const outcome = await store.transact({
      conditions: [{ ...key, version: row?.version ?? 0 }],
      puts: [{ ...key, value: encodeOwner(owner) }],
      removes: [],
    });
    this.#health.note(outcome);
    return outcome.type === "committed" ? { epoch: outcome.version, replicas, inherited } : undefined;
  }

  async #readOwnerRow(partition: number): Promise<{ readonly row: StoredRow | undefined } | undefined> {
    const key = ownerKey(partition);
    const read = await this.#context.platform.store.read({ table: key.table, part: key.part });
    this.#health.note(read);
    if (read.type !== "rows") return undefined;
    return { row: read.rows.find((candidate) => candidate.key === key.key) };
  }

  /**
   * Whether an owner goes on writing. A gateway that hears few of the others may itself be the one that is cut off:
   * it takes nothing from an owner whose writes it sees in the store.
   */
  async #isWritten(partition: number, row: StoredRow | undefined): Promise<boolean> {
    const { clock, settings } = this.#context;
    await delay(clock, settings.timing.watchOwnerMs);
    const again = await this.#readOwnerRow(partition);
    return !again || again.row?.version !== row?.version;
  }

  /** Whether the row names another gateway that is alive. */
  #namesOther(row: StoredRow | undefined): boolean {
    if (!row) return false;
    const { instance } = decodeOwner(row.value);
    return instance !== this.#context.instance && this.#members.mayOwn(instance);
  }

  /** Whether a gateway that is alive says that it owns the partition. */
  #hasLiveOwner(partition: number): boolean {
    const owner = this.ownerOf(partition);
    return owner !== undefined && this.#members.mayOwn(owner);
  }

  async #readAccounts(partition: number, epoch: number): Promise<Map<ProgramId, AccountRow> | undefined> {
    const accounts = new Map<ProgramId, AccountRow>();
    let from: string | undefined;
    for (;;) {
      const range = {
        table: TABLES.accounts,
        part: partOf(partition),
        ...(from === undefined ? {} : { from }),
      };
      const read = await this.#context.platform.store.read(range);
      this.#health.note(read);
      if (read.type !== "rows" || read.version < epoch) return undefined;
      for (const row of read.rows) accounts.set(row.key as ProgramId, decodeAccount(row.value));
      const last = read.rows.at(-1);
      if (!read.more || !last) return accounts;
      from = `${last.key}\u0000`;
    }
  }

  /** Puts together what the store has and what replicas hold. */
  #contentOf(
    stored: ReadonlyMap<ProgramId, AccountRow>,
    { copies, complete, othersGone }: Extract<CollectedCopies, { type: "collected" }>,
  ): PartitionContent {
    const { copied, turns } = sortCopies(stored, copies);
    if (!complete) this.#lossMattersUntilMs = this.#context.clock.monotonicMs() + LOSS_MATTERS_MS;
    // Nothing was granted on copies alone while the store answered, unless an owner goes on that nobody reaches.
    const grantsMayBeLost = !complete && (!othersGone || this.#health.wasUnreachable);
    return { stored, copied, turns, grantsMayBeLost };
  }

  #adopt(
    partition: number,
    { epoch, replicas, inherited, rowOwner }: TakenPartition,
    content: PartitionContent,
  ): void {
    const { log, instance } = this.#context;
    const parts = { context: this.#context, partition, epoch };
    const group = new PartitionReplicas(
      {
        ...parts,
        rpc: this.#rpc,
        candidates: {
          choose: () => this.#members.replicasFor(partition),
          isAlive: (replica) => this.#members.mayHoldCopies(replica.instance),
          isGone: (replica) => this.#members.isGone(replica),
          wasPaused: () => this.#members.wasPausedLately,
        },
        rowOwner: rowOwner ?? instance,
        onFenced: () => owned.stop(),
      },
      replicas,
      inherited,
    );
    const owned: OwnedPartition = new OwnedPartition(
      {
        ...parts,
        health: this.#health,
        turnWriter: this.#turnWriter,
        replicas: group,
        rowOwner,
        onRowTaken: () => this.#learnStored(owned),
        findTurn: (turn) => this.#finder.find(turn),
        onLost: () => this.#onLost(owned),
      },
      content,
    );
    this.#owned.set(partition, owned);
    this.#owners.learn(partition, { instance, epoch });
    const { stored, copied, turns, grantsMayBeLost } = content;
    log.info(
      {
        partition,
        epoch,
        programs: stored.size,
        copiedPrograms: copied.size,
        copiedTurns: turns.size,
        grantsMayBeLost,
        withoutStore: rowOwner !== undefined,
      },
      "partition taken over",
    );
    this.#members.tick();
  }

  #onLost(owned: OwnedPartition): void {
    if (this.#owned.get(owned.partition) === owned) this.#owned.delete(owned.partition);
    this.#owners.forget(owned.partition, this.#context.instance);
    this.#context.log.info({ partition: owned.partition, epoch: owned.epoch }, "partition released");
  }

  #renewReplicas(): void {
    if (!this.#health.reachable) return;
    for (const owned of this.#owned.values()) owned.renewReplicas();
  }

  /** A turn in this gateway's memory, as owner of its partition or as replica. */
  #findTurnHere(turn: RequestId): FindTurnResponse {
    for (const owned of this.#owned.values()) {
      const content = owned.turnInMemory(turn);
      if (content) return { type: "found", content };
    }
    const inMemory = this.#replicaHost.turn(turn) ?? this.#answered.get(turn);
    if (inMemory) return { type: "found", content: inMemory };
    return { type: "absent", mayBeLost: this.#context.clock.monotonicMs() < this.#lossMattersUntilMs };
  }

  #allOwned(): boolean {
    for (let partition = 0; partition < this.#context.settings.partitions; partition += 1)
      if (!this.#owned.has(partition) && !this.#hasLiveOwner(partition)) return false;
    return true;
  }
}

/** The replicas that may hold records of an owner that has not released the partition. */
function inheritedReplicas(row: StoredRow | undefined): readonly (readonly Replica[])[] {
  if (!row) return [];
  const { instance, replicas } = decodeOwner(row.value);
  return instance === "" ? [] : replicas;
}

/** The copies that the store does not have: newer accounts, and all turns. */
function sortCopies(stored: ReadonlyMap<ProgramId, AccountRow>, copies: readonly RecordCopy[]) {
  const copied = new Map<ProgramId, AccountRow>();
  const turns = new Map<RequestId, RetainedTurnContent>();
  for (const copy of copies) {
    if (copy.type === "turn") {
      turns.set(copy.turn, copy.content);
      continue;
    }
    const known = copied.get(copy.program) ?? stored.get(copy.program);
    if (!known || newerAccount(known, copy.row) !== known) copied.set(copy.program, copy.row);
  }
  return { copied, turns };
}
