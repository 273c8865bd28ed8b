/**
 * The replicas of one partition, as its owner uses them: while the store does not answer, a record counts as kept once a
 * majority of them holds a copy. The owner's row in the store names the replicas, so that a new owner knows whom to seal.
 */
import { majorityOf } from "../../coordination/fenced-copies/index.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { AccountRow } from "../partitions/partition-rows.ts";
import type { RecordCopy } from "./record-copy.ts";
import type { Replica } from "./replica.ts";

/** Longest wait for a replica's answer, in ms: several times what a message between zones and a busy process take. */
const APPEND_TIMEOUT_MS = 500;

/** Who may hold copies now, and who is alive. */
export interface ReplicaCandidates {
  /** The replicas that a partition should have now. */
  choose(partition: number): readonly Replica[];
  isAlive(replica: Replica): boolean;
  /** Whether a process is known to have ended. */
  isGone(replica: Replica): boolean;
  /** Whether this process stood still lately: others may have taken its partitions over since. */
  wasPaused(): boolean;
}

/** What the replicas of a partition are made of. */
export interface PartitionReplicasParts {
  readonly context: GatewayContext;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly candidates: ReplicaCandidates;
  readonly partition: number;
  readonly epoch: number;
  /** The process that the owner's row in the store names. */
  readonly rowOwner: string;
  /** Called when a replica has been sealed by a newer owner. */
  readonly onFenced: () => void;
}

/** See the module's comment. */
export class PartitionReplicas {
  readonly #parts: PartitionReplicasParts;
  /** Named by the owner's row in the store. */
  #named: readonly Replica[];
  #rowOwner: string;
  /** Named by a write of the owner's row that has not been confirmed: the store may hold either. */
  #proposed: readonly Replica[] | undefined;
  /**
   * Groups that the row named before. They count on until most of their replicas know that they are released: one that
   * does not know may take the partition over with the others of its group.
   */
  #retiring: readonly (readonly Replica[])[] = [];
  /** Replicas of earlier owners, while copies from there are not in the store yet. */
  #inherited: readonly (readonly Replica[])[];
  /** Records with copies that the store does not have yet, with the number of the snapshot that it must have. */
  readonly #unstored = new Map<string, number>();
  /** Addresses of replicas that may hold copies of this partition. */
  readonly #holders = new Set<string>();
  #appends = 0;

  /**
   * @param named replicas that the owner's row names
   * @param inherited groups of replicas of earlier owners that the row names, too
   */
  constructor(
    parts: PartitionReplicasParts,
    named: readonly Replica[],
    inherited: readonly (readonly Replica[])[],
  ) {
    this.#parts = parts;
    this.#rowOwner = parts.rowOwner;
    this.#named = named;
    this.#inherited = inherited;
    for (const { address } of inherited.flat()) this.#holders.add(address);
  }

  /** Whether everything of which copies are held is in the store, too. */
  get isStored(): boolean {
    return this.#unstored.size === 0;
  }

  /** Whether a replica is gone, or there could be more of them. */
  get isDegraded(): boolean {
    const { candidates, context, partition } = this.#parts;
    if (this.#named.some((replica) => !candidates.isAlive(replica))) return true;
    const isFull = this.#named.length >= context.settings.replication.copies;
    return !isFull && this.#named.length < candidates.choose(partition).length;
  }

  /** The groups that the next write of the owner's row must name; {@link confirm} when it has been done. */
  groupsForRow(): readonly (readonly Replica[])[] {
    if (!this.isStored) return [this.#proposed ?? this.#named, ...this.#inherited];
    // Nothing is held for this partition: new replicas need not learn anything.
    this.#inherited = [];
    if (this.isDegraded) this.#proposed = this.#parts.candidates.choose(this.#parts.partition);
    return [this.#proposed ?? this.#named];
  }

  /** The store holds the row with the groups that were given last. Returns whether the replicas have changed by it. */
  confirm(): boolean {
    this.#rowOwner = this.#parts.context.instance;
    if (!this.#proposed) return false;
    const before = this.#named;
    this.#named = this.#proposed;
    this.#proposed = undefined;
    void this.#retire(before);
    return true;
  }

  /**
   * Tells the replicas of accounts while they are written to the store.
   *
   * @param whole whether these are all accounts of the partition
   * @returns whether a majority of them still takes this process for the owner
   */
  mirror(accounts: readonly (readonly [ProgramId, AccountRow])[], whole: boolean): Promise<boolean> {
    return this.#askMajority((replica) => this.#mirrorAt(replica, accounts, whole));
  }

  /**
   * Whether a majority of the replicas is in touch with this process, so that none of them takes the partition over while
   * the store is away. Otherwise what the store has committed counts only once the replicas were asked.
   */
  get isInTouch(): boolean {
    const { candidates } = this.#parts;
    if (candidates.wasPaused()) return false;
    return this.#groups.every((group) => {
      const silent = group.filter((replica) => !candidates.isAlive(replica) && !candidates.isGone(replica));
      return silent.length < majorityOf(group.length);
    });
  }

  /** A copy of a record is held by replicas of an earlier owner, and the store does not have it. */
  inherit(key: string, sequence: number): void {
    this.#unstored.set(key, sequence);
  }

  /**
   * Has copies kept. Resolves with true once a majority of the replicas holds them, with false when that cannot be had
   * now.
   *
   * @param copies by key, with the number of the snapshot of each
   */
  async append(
    copies: ReadonlyMap<string, { readonly copy: RecordCopy; readonly sequence: number }>,
  ): Promise<boolean> {
    this.#appends += 1;
    for (const [key, { sequence }] of copies) this.#unstored.set(key, sequence);
    const records = [...copies.values()].map(({ copy }) => copy);
    const append = this.#appends;
    for (const { address } of this.#replicas) this.#holders.add(address);
    return this.#askMajority((replica) => this.#appendAt(replica, append, records));
  }

  /** The store has a snapshot of a record. */
  stored(key: string, sequence: number): void {
    const needed = this.#unstored.get(key);
    if (needed === undefined || needed > sequence) return;
    this.#unstored.delete(key);
    if (this.isStored) this.#dropCopies();
  }

  /** A record is not needed any more: nobody was told that it is kept. */
  abandon(key: string): void {
    this.stored(key, Number.POSITIVE_INFINITY);
  }

  /** All groups of which a majority is needed. */
  get #groups(): readonly (readonly Replica[])[] {
    return [this.#named, ...(this.#proposed ? [this.#proposed] : []), ...this.#retiring];
  }

  get #replicas(): Replica[] {
    return [...new Map(this.#groups.flat().map((replica) => [replica.instance, replica])).values()];
  }

  /** Resolves with true once a majority of each group has agreed, with false when that cannot be had. */
  #askMajority(ask: (replica: Replica) => Promise<boolean>): Promise<boolean> {
    const groups = this.#groups;
    const replicas = this.#replicas;
    return new Promise((resolve) => {
      const agreed = new Set<string>();
      let open = replicas.length;
      const decide = () => {
        if (groups.every((group) => isMajority(group, agreed))) resolve(true);
        else if (open === 0) resolve(false);
      };
      decide();
      for (const replica of replicas) {
        void ask(replica).then((agrees) => {
          open -= 1;
          if (agrees) agreed.add(replica.instance);
          decide();
        });
      }
    });
  }

  /** Releases the replicas of a group; those that have ended cannot take the partition over either. */
  async #retire(group: readonly Replica[]): Promise<void> {
    this.#retiring = [...this.#retiring, group];
    const { candidates } = this.#parts;
    const released = await Promise.all(
      group.map(async (replica) => (await this.#mirrorAt(replica, [], false)) || candidates.isGone(replica)),
    );
    if (released.filter((isReleased) => isReleased).length >= majorityOf(group.length))
      this.#retiring = this.#retiring.filter((other) => other !== group);
  }

  async #mirrorAt(
    replica: Replica,
    accounts: readonly (readonly [ProgramId, AccountRow])[],
    whole: boolean,
  ): Promise<boolean> {
    const { context, rpc, partition, epoch, onFenced } = this.#parts;
    // A retiring group is left out: its replicas are to learn that they are released.
    const groups = this.#proposed ? [this.#named, this.#proposed] : [this.#named];
    const owner = context.instance;
    const target = { partition, epoch, owner, rowOwner: this.#rowOwner, replica: replica.instance };
    const request = { ...target, groups, accounts, whole };
    const reply = await rpc.ask(replica.address, "mirrorAccounts", request, APPEND_TIMEOUT_MS);
    if (reply.type !== "done") return false;
    if (reply.body.type === "fenced") onFenced();
    return reply.body.type === "kept";
  }

  async #appendAt(replica: Replica, append: number, copies: readonly RecordCopy[]): Promise<boolean> {
    const { context, rpc, partition, epoch, onFenced } = this.#parts;
    const owner = context.instance;
    const request = { partition, epoch, owner, replica: replica.instance, append, copies };
    const reply = await rpc.ask(replica.address, "appendCopies", request, APPEND_TIMEOUT_MS);
    if (reply.type !== "done") return false;
    if (reply.body.type === "fenced") onFenced();
    return reply.body.type === "kept";
  }

  #dropCopies(): void {
    const { rpc, partition, epoch } = this.#parts;
    const request = { partition, epoch, through: this.#appends };
    for (const address of this.#holders) void rpc.ask(address, "dropCopies", request, APPEND_TIMEOUT_MS);
    this.#holders.clear();
  }
}

function isMajority(group: readonly Replica[], agreed: ReadonlySet<string>): boolean {
  const count = group.filter(({ instance }) => agreed.has(instance)).length;
  return count >= majorityOf(group.length);
}
