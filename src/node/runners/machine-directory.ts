/**
 * This node's copy of the platform's machine list. Only a few nodes read the list from the platform. The other nodes
 * receive it from their peers, so the load on the platform does not grow with the number of nodes. A node that has
 * received no update for a while reads the list itself.
 */
import type { Member } from "../../coordination/shard-group/index.ts";
import { type SnapshotAnnouncement, SnapshotRelay } from "../../coordination/snapshot-relay/index.ts";
import type { FetchMachinesResponse } from "../../messages/rpc-messages.ts";
import type { Machine, MachineList } from "../../ports/machine-list/machine-list.ts";
import { repeat } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { NodeContext } from "../node-context.ts";
import { MachineListSnapshot } from "./machine-list-snapshot.ts";

/** Number of nodes that read the list from the platform. */
const READER_COUNT = 3;
/** Number of peers to which a node announces a newer read. */
const ANNOUNCE_FANOUT = 3;
/** Number of snapshots that are kept, so that requests of peers can be answered with changes only. */
const MAX_KEPT_SNAPSHOTS = 8;
const FETCH_TIMEOUT_MS = 1_000;
/** Maximum number of node addresses that are returned to a caller. */
const MAX_CALLER_ADDRESSES = 64;
/** Mean time between two reports to the platform, counted over all nodes, in ms. */
const MEAN_REPORT_INTERVAL_MS = 10;

/** Keeps a copy of the machine list up to date, reports this node to the platform and answers peers. */
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
  /** The address at which callers reach this node. Empty while callers can't reach it. */
  callersAddress = "";
  #stop: () => void = () => undefined;
  /** Called when a newer read of the list was obtained, also if the list is unchanged. */
  onRefreshed: () => void = () => undefined;

  constructor(context: NodeContext, list: MachineList, rpc: RpcEndpoint) {
    this.#context = context;
    this.#list = list;
    this.#rpc = rpc;
    this.#relay = new SnapshotRelay(context.settings.timing.machineListMs / 2);
    rpc.handle("fetchMachines", async ({ digest }) => this.#answerFetch(digest));
  }

  /** Starts following the list. */
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

  /** Reports to the platform that this node is leaving. */
  async announceLeaving(): Promise<void> {
    this.#leaving = true;
    this.#nextReportMs = 0;
    await this.#refresh();
  }

  /** Returns the time since the list held here was read from the platform by any node, in ms. */
  ageMs(): number {
    return this.#relay.ageMs(this.#nowMs());
  }

  /** Returns all machines on the list. */
  machines(): readonly Machine[] {
    return this.#machines;
  }

  /** Returns the nodes on the list. */
  nodes(): readonly Machine[] {
    return this.#nodes;
  }

  /** Returns the listed nodes that are not leaving, in the form used for shard membership. */
  liveMembers(): Member[] {
    return this.#nodes
      .filter((machine) => machine.state === "live")
      .map(({ incarnation, address, zone }) => ({ instance: incarnation, address, zone }));
  }

  /** Returns addresses for callers of a zone: nodes that are not leaving, those of the same zone first. */
  callerAddresses(zone: string | undefined): string[] {
    const open = this.#nodes.filter((node) => node.state === "live" && node.callers);
    const near = open.filter((node) => node.zone === zone);
    const far = open.filter((node) => node.zone !== zone);
    return [...near, ...far].slice(0, MAX_CALLER_ADDRESSES).map((node) => node.callers ?? "");
  }

  /** Returns the addresses of up to `count` other nodes, chosen at random. */
  randomPeers(count: number): string[] {
    const { random, self } = this.#context;
    const others = this.#nodes.map((node) => node.address).filter((address) => address !== self.address);
    const chosen: string[] = [];
    while (chosen.length < count && others.length > 0) {
      chosen.push(...others.splice(random.below(others.length), 1));
    }
    return chosen;
  }

  /** Changes whenever {@link nodes} changes. Results that are derived from the nodes can be cached by this version. */
  get nodesVersion(): number {
    return this.#nodesVersion;
  }

  /** Handles a peer's announcement of a newer read. */
  onAnnouncement(news: SnapshotAnnouncement, from: string): void {
    if (this.#relay.shouldRequest(news, this.#nowMs())) void this.#fetch(from);
  }

  async #refresh(): Promise<void> {
    await this.#reportIfDue();
    if (this.#isReader() || this.ageMs() > this.#context.settings.timing.machineListMs * 2)
      await this.#read();
  }

  /** The nodes with the lowest hashes are the readers. A node that knows of too few other nodes also reads. */
  #isReader(): boolean {
    const { self, hash } = this.#context;
    const own = hash.hash32(`reader|${self.instance}`);
    const before = this.#nodes.filter((node) => hash.hash32(`reader|${node.incarnation}`) < own);
    return before.length < READER_COUNT;
  }

  /** The report interval of each node grows with the number of nodes, which keeps the platform's load constant. */
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
      // The platform did not respond. The current list is kept; code that needs a fresh list checks ageMs().
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

  /** Handles the response that the list held here is unchanged and was read more recently than known so far. */
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
