/**
 * Creates the shards of a new system, and moves replicas when nodes join and leave.
 *
 * The leader of a shard decides which nodes hold replicas, through membership changes in the shard's own journal. The
 * row in the platform's table ensures that a shard is created exactly once, and lets others look up its replicas.
 * Repairs therefore continue while the table is unavailable.
 */
import {
  chooseReplicas,
  nextMembershipStep,
  type PlacementOptions,
} from "../coordination/placement/index.ts";
import { allMembers, type Member, type Membership } from "../coordination/shard-group/index.ts";
import type { Row, TableStore } from "../ports/table/table-store.ts";
import { delay, repeat } from "../runtime/clock.ts";
import type { NodeContext } from "./node-context.ts";
import type { MachineDirectory } from "./runners/machine-directory.ts";
import type { ShardHost } from "./shard-host.ts";
import type { ShardReplica } from "./shard-replica.ts";
import { parseShardRow, SHARD_ROW_PREFIX, type ShardRow, shardRowKey } from "./shard-row.ts";

const PAGE_SIZE = 1_000;
const CREATE_BATCH_SIZE = 64;
const BOOTSTRAP_RETRY_DELAY_MS = 200;
/** Maximum lag at which a learner counts as caught up and may become a voter, in journal entries. */
const MAX_CAUGHT_UP_LAG = 64;

/** Creates missing shards until all exist, and periodically repairs the membership of shards that this node leads. */
export class ShardPlacementManager {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #machines: MachineDirectory;
  readonly #table: TableStore;
  readonly #placement: PlacementOptions;
  readonly #publishedVoters = new Map<number, string>();
  readonly #targetMembers = new Map<
    number,
    { readonly basis: string; readonly members: readonly Member[] }
  >();
  readonly #nonMemberSinceMs = new Map<number, number>();
  #stopRepair: () => void = () => undefined;
  #stopped = false;
  #ready = false;

  constructor(context: NodeContext, shards: ShardHost, machines: MachineDirectory, table: TableStore) {
    this.#context = context;
    this.#shards = shards;
    this.#machines = machines;
    this.#table = table;
    const { replicas, shardsPerFamily } = context.settings.cluster;
    this.#placement = { replicas, shardsPerFamily, hash32: context.hash.hash32 };
  }

  /** The options for choosing the nodes of replicas. */
  get placement(): PlacementOptions {
    return this.#placement;
  }

  /** Whether every shard is known to exist. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Starts creating shards and moving replicas. */
  start(): void {
    void this.#bootstrap();
    this.#stopRepair = repeat(this.#context.clock, this.#context.settings.timing.repairMs, () =>
      this.#repairAll(),
    );
  }

  /** Stops creating shards and moving replicas. */
  stop(): void {
    this.#stopped = true;
    this.#stopRepair();
  }

  /** Starts a transfer of the leadership of every shard that this node leads to another replica. */
  handOverLeadership(): void {
    const nowMs = this.#context.clock.monotonicMs();
    for (const replica of this.#shards.all()) {
      if (!replica.leads) continue;
      replica.group.transferLeadership(nowMs);
      replica.runEffects();
    }
  }

  // Creation

  async #bootstrap(): Promise<void> {
    while (!this.#stopped) {
      try {
        const rows = await this.#readRows();
        this.#startOwnReplicas(rows);
        if (rows.length >= this.#context.settings.cluster.shards) {
          this.#ready = true;
          return;
        }
        await this.#createMissing(rows);
      } catch {
        // The table did not respond. Retry after the delay.
      }
      await delay(this.#context.clock, BOOTSTRAP_RETRY_DELAY_MS);
    }
  }

  async #readRows(): Promise<ShardRow[]> {
    const rows: ShardRow[] = [];
    let after = "";
    for (;;) {
      const page = await this.#table.list(SHARD_ROW_PREFIX, after, PAGE_SIZE);
      rows.push(...page.map((row) => JSON.parse(row.value) as ShardRow));
      if (page.length < PAGE_SIZE) return rows;
      after = page[page.length - 1].key;
    }
  }

  /** Starts this node's initial replicas as voters. The leader adds all later replicas through membership changes. */
  #startOwnReplicas(rows: readonly ShardRow[]): void {
    const { instance } = this.#context.self;
    for (const { shard, voters, generation } of rows) {
      const isVoter = voters.some((voter) => voter.instance === instance);
      if (isVoter && generation === 0 && !this.#shards.get(shard)) this.#shards.bootstrap(shard, voters);
    }
  }

  async #createMissing(rows: readonly ShardRow[]): Promise<void> {
    const nodes = this.#machines.liveMembers();
    const { shards, firstNodes } = this.#context.settings.cluster;
    if (nodes.length < firstNodes) return;
    const existing = new Set(rows.map((row) => row.shard));
    const missing = Array.from({ length: shards }, (_, shard) => shard).filter(
      (shard) => !existing.has(shard),
    );
    const batch = missing.slice(0, CREATE_BATCH_SIZE);
    await this.#table.transact({
      conditions: batch.map((shard) => ({ key: shardRowKey(shard), version: 0 })),
      writes: batch.map((shard) => ({
        key: shardRowKey(shard),
        value: JSON.stringify({
          shard,
          voters: chooseReplicas(shard, nodes, this.#placement),
          generation: 0,
          lastIndex: 0,
        } satisfies ShardRow),
      })),
    });
  }

  // Repair

  #repairAll(): void {
    for (const replica of [...this.#shards.all()]) {
      if (replica.leads) this.#repair(replica);
      else this.#dropIfNotMember(replica);
    }
  }

  #repair(replica: ShardReplica): void {
    const { clock, self } = this.#context;
    const nowMs = clock.monotonicMs();
    const wanted = this.#targetMembersOf(replica, nowMs);
    if (wanted.length === 0) return;
    const step = nextMembershipStep({
      self: self.instance,
      membership: replica.membership,
      wanted,
      isCaughtUp: (instance) =>
        (replica.group.lagInEntries(instance) ?? Number.POSITIVE_INFINITY) <= MAX_CAUGHT_UP_LAG,
    });
    if (step.type === "change") this.#changeMembership(replica, step.membership, nowMs);
    if (step.type === "transfer") replica.group.transferLeadership(nowMs, step.preferred);
    if (step.type === "transferTo") replica.group.transferLeadershipTo(step.to, nowMs);
    replica.runEffects();
    if (step.type === "none") void this.#publishVoters(replica);
  }

  /**
   * Returns the nodes that should hold the shard's replicas. The cost of ranking all nodes grows with their number, so
   * the result is cached until the listed nodes or the health of the members change.
   */
  #targetMembersOf(replica: ShardReplica, nowMs: number): readonly Member[] {
    const members = allMembers(replica.membership);
    const health = members
      .map((member) => `${member.instance}:${this.#isDead(replica, member, nowMs)}`)
      .join(" ");
    const basis = `${this.#machines.nodesVersion} ${health}`;
    const known = this.#targetMembers.get(replica.shard);
    if (known?.basis === basis) return known.members;
    const chosen = chooseReplicas(replica.shard, this.#usableNodes(replica, nowMs), this.#placement);
    this.#targetMembers.set(replica.shard, { basis, members: chosen });
    return chosen;
  }

  #isDead(replica: ShardReplica, member: Member, nowMs: number): boolean {
    if (member.instance === this.#context.self.instance) return false;
    const silenceMs = replica.group.timeSinceResponseMs(member.instance, nowMs) ?? 0;
    return silenceMs > this.#context.settings.timing.deadAfterMs;
  }

  #changeMembership(replica: ShardReplica, membership: Membership, nowMs: number): void {
    if (!replica.group.proposeMembership(membership, nowMs)) return;
    replica.group.flush(nowMs);
    this.#context.log.info(
      {
        shard: replica.shard,
        voters: membership.voters.map((member) => member.instance),
        learners: membership.learners.map((member) => member.instance),
      },
      "changing replicas",
    );
  }

  /** Returns the listed nodes that are not leaving, and the replicas that respond although they are not listed. */
  #usableNodes(replica: ShardReplica, nowMs: number): Member[] {
    const isDead = (member: Member) => this.#isDead(replica, member, nowMs);
    const listed = this.#machines.liveMembers().filter((member) => !isDead(member));
    const leaving = this.#machines.nodes().filter((machine) => machine.state === "leaving");
    const unlisted = allMembers(replica.membership).filter((member) => {
      if (listed.some((other) => other.instance === member.instance) || isDead(member)) return false;
      return !leaving.some((machine) => machine.incarnation === member.instance);
    });
    return [...listed, ...unlisted];
  }

  /** Drops a replica that has not been a member of its group for a while. */
  #dropIfNotMember(replica: ShardReplica): void {
    const isMember = allMembers(replica.membership).some(
      ({ instance }) => instance === this.#context.self.instance,
    );
    const nowMs = this.#context.clock.monotonicMs();
    const sinceMs = this.#nonMemberSinceMs.get(replica.shard) ?? nowMs;
    if (isMember) this.#nonMemberSinceMs.delete(replica.shard);
    else this.#nonMemberSinceMs.set(replica.shard, sinceMs);
    if (isMember || nowMs - sinceMs < this.#context.settings.timing.deadAfterMs) return;
    this.#nonMemberSinceMs.delete(replica.shard);
    this.#shards.drop(replica.shard);
  }

  /** Writes the voters of a shard that needs no repair to the table, for those who look up the shard there. */
  async #publishVoters(replica: ShardReplica): Promise<void> {
    const { shard, generation } = replica;
    const { voters } = replica.membership;
    const signature = voters.map((voter) => voter.instance).join(" ");
    if (this.#publishedVoters.get(shard) === signature) return;
    this.#publishedVoters.set(shard, signature);
    try {
      const current: Row = await this.#table.get(shardRowKey(shard));
      const before = parseShardRow(current);
      if (before && before.generation > generation) return this.#shards.drop(shard);
      const value = JSON.stringify({
        shard,
        voters,
        generation,
        lastIndex: before?.lastIndex ?? 0,
      } satisfies ShardRow);
      if (current.value === value) return;
      const conditions = [{ key: current.key, version: current.version }];
      await this.#table.transact({ conditions, writes: [{ key: current.key, value }] });
    } catch {
      this.#publishedVoters.delete(shard);
    }
  }
}
