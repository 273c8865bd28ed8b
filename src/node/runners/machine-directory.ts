/**
 * The platform's list of machines as this node knows it. A few nodes read it; the others are told by them, so that
 * what the platform has to answer does not grow with the number of nodes. A node that has not been told for a while
 * reads for itself.
 */
import type { Member } from "../../coordination/shard-group/index.ts";
import { type SnapshotAnnouncement, SnapshotRelay } from "../../coordination/snapshot-relay/index.ts";
import type { FetchMachinesResponse } from "../../messages/rpc-messages.ts";
import type { Machine, MachineList } from "../../ports/machine-list/machine-list.ts";
import { repeat } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { NodeContext } from "../node-context.ts";
import { MachineListSnapshot } from "./machine-list-snapshot.ts";

/** Nodes that read the platform's list. */
const READER_COUNT = 3;
/** Nodes that each node tells of a fresher reading. */
const ANNOUNCE_FANOUT = 3;
/** Earlier contents that are kept, to answer with differences. */
const MAX_KEPT_SNAPSHOTS = 8;
const FETCH_TIMEOUT_MS = 1_000;
/** Most addresses that a caller is given. */
const MAX_CALLER_ADDRESSES = 64;
/** Mean time between two reports of nodes to the platform, by whichever node, in ms. */
const MEAN_REPORT_INTERVAL_MS = 10;

/** See the module's comment. */
export class MachineDirectory {
  readonly #context: NodeContext;
  readonly #list: MachineList;
  readonly #rpc: RpcEndpoint;
  readonly #relay: SnapshotRelay;
  readonly #snapshots = new Map<string, MachineListSnapshot>();
  #machines: readonly Machine[] = [];
  #nodes: readonly Machine[] = [];
  #nodesVersion = 0;
  #leaving = false;
  #fetching = false;
  #nextReportMs = 0;
  /** Where callers reach this node; empty while they cannot. */
  callersAddress = "";
  #stop: () => void = () => undefined;
  /** Called after each fresher reading. */
  onRefreshed: () => void = () => undefined;

  constructor(context: NodeContext, list: MachineList, rpc: RpcEndpoint) {
    this.#context = context;
    this.#list = list;
    this.#rpc = rpc;
    this.#relay = new SnapshotRelay(context.settings.timing.machineListMs / 2);
    rpc.handle("fetchMachines", async ({ digest }) => this.#answerFetch(digest));
  }

  /** Starts to follow the list. */
  start(): void {
    void this.#refresh();
    this.#stop = repeat(
      this.#context.clock,
      this.#context.settings.timing.machineListMs,
      () => void this.#refresh(),
    );
  }

  /** Stops following the list. */
  stop(): void {
    this.#stop();
  }

  /** Tells the platform that this node is leaving. */
  async announceLeaving(): Promise<void> {
    this.#leaving = true;
    this.#nextReportMs = 0;
    await this.#refresh();
  }

  /** Time since somebody read the list for what is known here, in ms. */
  ageMs(): number {
    return this.#relay.ageMs(this.#nowMs());
  }

  /** Every machine on the list. */
  machines(): readonly Machine[] {
    return this.#machines;
  }

  /** Nodes on the list. */
  nodes(): readonly Machine[] {
    return this.#nodes;
  }

  /** Listed nodes that are not leaving, as replicas of shards would be. */
  liveMembers(): Member[] {
    return this.#nodes
      .filter((machine) => machine.state === "live")
      .map(({ incarnation, address, zone }) => ({ instance: incarnation, address, zone }));
  }

  /** Where callers of a zone may go: nodes that stay, those of the zone first. */
  callerAddresses(zone: string | undefined): string[] {
    const open = this.#nodes.filter((node) => node.state === "live" && node.callers);
    const near = open.filter((node) => node.zone === zone);
    const far = open.filter((node) => node.zone !== zone);
    return [...near, ...far].slice(0, MAX_CALLER_ADDRESSES).map((node) => node.callers ?? "");
  }

  /** Addresses of up to `count` other nodes, drawn at random. */
  randomPeers(count: number): string[] {
    const { random, self } = this.#context;
    const others = this.#nodes.map((node) => node.address).filter((address) => address !== self.address);
    const chosen: string[] = [];
    while (chosen.length < count && others.length > 0) {
      chosen.push(...others.splice(random.below(others.length), 1));
    }
    return chosen;
  }

  /** Changes whenever {@link nodes} does, so that what is worked out from them need not be worked out again. */
  get nodesVersion(): number {
    return this.#nodesVersion;
  }

  /** Another node told of a reading. */
  onAnnouncement(news: SnapshotAnnouncement, from: string): void {
    if (this.#relay.shouldRequest(news, this.#nowMs())) void this.#fetch(from);
  }

  async #refresh(): Promise<void> {
    await this.#reportIfDue();
    if (this.#isReader() || this.ageMs() > this.#context.settings.timing.machineListMs * 2)
      await this.#read();
  }

  /** The readers are the nodes that come first by hash; whoever knows too few nodes reads as well. */
  #isReader(): boolean {
    const { self, hash } = this.#context;
    const own = hash.hash32(`reader|${self.instance}`);
    const before = this.#nodes.filter((node) => hash.hash32(`reader|${node.incarnation}`) < own);
    return before.length < READER_COUNT;
  }

  /** The more nodes there are, the more rarely each reports itself. */
  async #reportIfDue(): Promise<void> {
    const { self, settings, random } = this.#context;
    const nowMs = this.#nowMs();
    if (nowMs < this.#nextReportMs) return;
    this.#nextReportMs = nowMs + this.#nodes.length * MEAN_REPORT_INTERVAL_MS * (0.5 + random.unit());
    await this.#list
      .report({
        name: settings.name,
        kind: "node",
        pool: "",
        zone: settings.zone,
        address: self.address,
        callers: this.callersAddress,
        incarnation: self.instance,
        state: this.#leaving ? "leaving" : "live",
        models: [],
        slots: 0,
        kvTokens: 0,
      })
      .catch(() => {
        this.#nextReportMs = 0;
      });
  }

  async #read(): Promise<void> {
    const startMs = this.#nowMs();
    try {
      const machines = await this.#list.read();
      if (!this.#relay.isNewer(startMs)) return;
      const whole = { whole: true, put: machines, removed: [] };
      const snapshot = MachineListSnapshot.EMPTY.withChanges(whole, this.#context.hash);
      this.#adopt(snapshot);
      this.#announce(this.#relay.recordRead(snapshot.digest, startMs, this.#nowMs()));
      this.onRefreshed();
    } catch {
      // The platform does not answer: what is known stands, and its age is watched by those who depend on it.
    }
  }

  async #fetch(from: string): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    const askedAtMs = this.#nowMs();
    const held = this.#relay.digest;
    try {
      const reply = await this.#rpc.ask(from, "fetchMachines", { digest: held }, FETCH_TIMEOUT_MS);
      if (reply.type !== "done") return;
      const { changes, ageMs } = reply.body;
      if (!this.#relay.isNewer(askedAtMs - ageMs)) return;
      if (reply.body.digest === held) return this.#confirmUnchanged(held, ageMs, askedAtMs);
      const before = this.#snapshots.get(held) ?? MachineListSnapshot.EMPTY;
      const snapshot = before.withChanges(changes, this.#context.hash);
      const { digest } = snapshot;
      if (digest !== reply.body.digest) return;
      this.#adopt(snapshot);
      this.#announce(this.#relay.adopt({ digest, ageMs }, askedAtMs, this.#nowMs()));
      this.onRefreshed();
    } finally {
      this.#fetching = false;
    }
  }

  /** The content is what is held already, and read later than was known. */
  #confirmUnchanged(digest: string, ageMs: number, askedAtMs: number): void {
    if (digest !== this.#relay.digest) return;
    this.#announce(this.#relay.adopt({ digest, ageMs }, askedAtMs, this.#nowMs()));
    this.onRefreshed();
  }

  #answerFetch(digest: string): FetchMachinesResponse {
    const current = this.#currentSnapshot();
    const known = this.#snapshots.get(digest);
    const changes = known
      ? current.changesFrom(known)
      : { whole: true, put: [...current.machines.values()], removed: [] };
    return { digest: this.#relay.digest, ageMs: this.ageMs(), changes };
  }

  #currentSnapshot(): MachineListSnapshot {
    return this.#snapshots.get(this.#relay.digest) ?? MachineListSnapshot.EMPTY;
  }

  #adopt(snapshot: MachineListSnapshot): void {
    const { digest } = snapshot;
    this.#snapshots.delete(digest);
    this.#snapshots.set(digest, snapshot);
    const [oldest] = this.#snapshots.keys();
    if (this.#snapshots.size > MAX_KEPT_SNAPSHOTS) this.#snapshots.delete(oldest);
    if (digest === this.#relay.digest) return;
    this.#machines = [...snapshot.machines.values()];
    const nodes = this.#machines.filter((machine) => machine.kind === "node");
    if (signatureOf(nodes) === signatureOf(this.#nodes)) return;
    this.#nodes = nodes;
    this.#nodesVersion += 1;
  }

  #announce(news: SnapshotAnnouncement): void {
    for (const address of this.randomPeers(ANNOUNCE_FANOUT)) {
      this.#context.transport.send(address, { type: "machineListNews", news });
    }
  }

  #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }
}

function signatureOf(nodes: readonly Machine[]): string {
  return nodes.map(({ incarnation, address, state }) => `${incarnation}|${address}|${state}`).join(" ");
}
