import type { Member } from "../../../src/coordination/shard-group/index.ts";
import { ShardGroup } from "../../../src/coordination/shard-group/index.ts";

/** A command is a text, which the tests compare. */
export type TestCommand = string;

interface InFlight {
  readonly from: string;
  readonly to: string;
  readonly message: Parameters<ShardGroup<TestCommand>["receive"]>[0];
}

const TICK_MS = 50;
const ELECTION_TIMEOUT_MS = 400;
const HEARTBEAT_MS = 100;

/** One replica with the state it has applied. */
export class TestReplica {
  readonly member: Member;
  readonly group: ShardGroup<TestCommand>;
  applied: TestCommand[] = [];
  appliedIndex = 0;
  alive = true;

  constructor(name: string, seed: number, nowMs: number) {
    this.member = { instance: name, address: name, zone: name };
    const options = {
      self: this.member,
      seed,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      heartbeatIntervalMs: HEARTBEAT_MS,
    };
    this.group = new ShardGroup<TestCommand>(options, nowMs);
  }
}

/** Replicas of one shard on a simulated clock and network that the test controls. */
export class GroupNetwork {
  readonly replicas = new Map<string, TestReplica>();
  readonly brokenLinks = new Set<string>();
  nowMs = 0;
  /** Number of log entries delivered to each replica, counted as often as they were sent. */
  readonly deliveredEntries = new Map<string, number>();
  /** The leaders observed in each term. */
  readonly leadersByTerm = new Map<number, Set<string>>();
  #inFlight: InFlight[] = [];
  #seed = 1;

  /** Starts a new group. */
  static start(names: readonly string[]): GroupNetwork {
    const network = new GroupNetwork();
    for (const name of names) network.add(name);
    const voters = [...network.replicas.values()].map((replica) => replica.member);
    for (const replica of network.replicas.values()) {
      replica.group.bootstrap(voters);
      network.executeEffects(replica);
    }
    return network;
  }

  /** Adds an empty replica that is in no membership yet. */
  add(name: string): TestReplica {
    this.#seed += 1;
    const replica = new TestReplica(name, this.#seed, this.nowMs);
    this.replicas.set(name, replica);
    return replica;
  }

  /** Returns a replica by name. */
  get(name: string): TestReplica {
    const replica = this.replicas.get(name);
    if (!replica) throw new Error(`There is no replica ${name}.`);
    return replica;
  }

  /** Advances the clock and delivers every message. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      for (const replica of this.#liveReplicas()) {
        replica.group.tick(this.nowMs);
        this.executeEffects(replica);
      }
      this.deliverAll();
    }
  }

  /** Delivers every message in flight, and the messages sent in response. */
  deliverAll(): void {
    for (let round = 0; round < 200 && this.#inFlight.length > 0; round++) {
      const batch = this.#inFlight;
      this.#inFlight = [];
      for (const message of batch) this.#deliver(message);
    }
  }

  /** Delivers, drops or duplicates one message in flight, selected by `messageNumber`, modulo the number of messages. */
  disturbMessage(messageNumber: number, action: "deliver" | "drop" | "duplicate"): void {
    if (this.#inFlight.length === 0) return;
    const position = messageNumber % this.#inFlight.length;
    const [message] = this.#inFlight.splice(position, 1);
    if (action === "drop") return;
    if (action === "duplicate") this.#inFlight.push(message);
    this.#deliver(message);
  }

  /** Returns the first live replica that is a ready leader. */
  leader(): TestReplica | undefined {
    return this.#liveReplicas().find((replica) => replica.group.isReadyLeader);
  }

  /** Proposes a command to the leader. Returns whether a leader accepted it. */
  propose(command: TestCommand): boolean {
    const leader = this.leader();
    if (!leader?.group.propose(command, this.nowMs)) return false;
    leader.group.flush(this.nowMs);
    this.executeEffects(leader);
    return true;
  }

  /** Carries out the effects of a replica's group. */
  executeEffects(replica: TestReplica): void {
    for (const effect of replica.group.takeEffects()) {
      if (effect.type === "send") {
        this.#inFlight.push({
          from: replica.member.instance,
          to: effect.to.instance,
          message: effect.message,
        });
      } else if (effect.type === "apply") {
        for (const entry of effect.entries) {
          if (entry.payload.type === "command") replica.applied.push(entry.payload.command);
          replica.appliedIndex = entry.index;
        }
      } else if (effect.type === "restore") {
        replica.applied = [...(effect.state as string[])];
        replica.appliedIndex = effect.lastIndex;
      } else if (effect.type === "snapshotNeeded") {
        replica.group.provideSnapshot(effect.to, replica.appliedIndex, [...replica.applied]);
        this.executeEffects(replica);
      } else if (effect.role === "leader") {
        const leaders = this.leadersByTerm.get(effect.term) ?? new Set();
        this.leadersByTerm.set(effect.term, leaders.add(replica.member.instance));
      }
    }
  }

  #liveReplicas(): TestReplica[] {
    return [...this.replicas.values()].filter((replica) => replica.alive);
  }

  #deliver({ from, to, message }: InFlight): void {
    const target = this.replicas.get(to);
    if (!target?.alive || this.brokenLinks.has(`${from}>${to}`)) return;
    const entryCount = message.type === "appendRequest" ? message.entries.length : 0;
    this.deliveredEntries.set(to, (this.deliveredEntries.get(to) ?? 0) + entryCount);
    target.group.receive(structuredClone(message), this.nowMs);
    this.executeEffects(target);
  }
}
