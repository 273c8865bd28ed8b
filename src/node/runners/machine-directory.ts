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
import { MachineContent } from "./machine-content.ts";

/** Nodes that read the platform's list. */
const READERS = 3;
/** Nodes that each node tells of a fresher reading. */
const NEWS_FANOUT = 3;
/** Earlier contents that are kept, to answer with differences. */
const KEPT_CONTENTS = 8;
const FETCH_TIMEOUT_MS = 1_000;
/** Most addresses that a caller is given. */
const MAX_ADDRESSES = 64;
/** Mean time between two reports of nodes to the platform, by whichever node, in ms. */
const REPORT_MS = 10;

/** See the module's comment. */
export class MachineDirectory {
  readonly #context: NodeContext;
  readonly #list: MachineList;
  readonly #rpc: RpcEndpoint;
  readonly #relay: SnapshotRelay;
  readonly #contents = new Map<string, MachineContent>();
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
  onRead: () => void = () => undefined;

  constructor(context: NodeContext, list: MachineList, rpc: RpcEndpoint) {
    this.#context = context;
    this.#list = list;
    this.#rpc = rpc;
    this.#relay = new SnapshotRelay(context.settings.timing.machineListMs / 2);
    rpc.handle("fetchMachines", async ({ digest }) => this.#answerFetch(digest));
  }

  /** Starts to follow the list. */
  start(): void {
    void this.#step();
    this.#stop = repeat(
      this.#context.clock,
      this.#context.settings.timing.machineListMs,
      () => void this.#step(),
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
    await this.#step();
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
    return [...near, ...far].slice(0, MAX_ADDRESSES).map((node) => node.callers ?? "");
  }

  /** Addresses of up to `count` other nodes, drawn at random. */
  randomOthers(count: number): string[] {
    const { random, self } = this.#context;
    const others = this.#nodes.map((node) => node.address).filter((address) => address !== self.address);
    const drawn: string[] = [];
    while (drawn.length < count && others.length > 0) {
      drawn.push(...others.splice(random.below(others.length), 1));
    }
    return drawn;
  }

  /** Changes whenever {@link nodes} does, so that what is worked out from them need not be worked out again. */
  get nodesVersion(): number {
    return this.#nodesVersion;
  }

  /** Another node told of a reading. */
  onNews(news: SnapshotAnnouncement, from: string): void {
    if (this.#relay.shouldRequest(news, this.#nowMs())) void this.#fetch(from);
  }

  async #step(): Promise<void> {
    await this.#reportIfDue();
    if (this.#isReader() || this.ageMs() > this.#context.settings.timing.machineListMs * 2)
      await this.#read();
  }

  /** The readers are the nodes that come first by hash; whoever knows too few nodes reads as well. */
  #isReader(): boolean {
    const { self, hash } = this.#context;
    const own = hash.hash32(`reader|${self.instance}`);
    const before = this.#nodes.filter((node) => hash.hash32(`reader|${node.incarnation}`) < own);
    return before.length < READERS;
  }

  /** The more nodes there are, the more rarely each reports itself. */
  async #reportIfDue(): Promise<void> {
    const { self, settings, random } = this.#context;
    const nowMs = this.#nowMs();
    if (nowMs < this.#nextReportMs) return;
    this.#nextReportMs = nowMs + this.#nodes.length * REPORT_MS * (0.5 + random.unit());
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
      const content = MachineContent.EMPTY.after(whole, this.#context.hash);
      this.#take(content);
      this.#tellOthers(this.#relay.recordRead(content.digest, startMs, this.#nowMs()));
      this.onRead();
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
      if (reply.body.digest === held) return this.#confirm(held, ageMs, askedAtMs);
      const before = this.#contents.get(held) ?? MachineContent.EMPTY;
      const content = before.after(changes, this.#context.hash);
      const { digest } = content;
      if (digest !== reply.body.digest) return;
      this.#take(content);
      this.#tellOthers(this.#relay.adopt({ digest, ageMs }, askedAtMs, this.#nowMs()));
      this.onRead();
    } finally {
      this.#fetching = false;
    }
  }

  /** The content is what is held already, and read later than was known. */
  #confirm(digest: string, ageMs: number, askedAtMs: number): void {
    if (digest !== this.#relay.digest) return;
    this.#tellOthers(this.#relay.adopt({ digest, ageMs }, askedAtMs, this.#nowMs()));
    this.onRead();
  }

  #answerFetch(digest: string): FetchMachinesResponse {
    const current = this.#current();
    const known = this.#contents.get(digest);
    const changes = known
      ? current.changesFrom(known)
      : { whole: true, put: [...current.machines.values()], removed: [] };
    return { digest: this.#relay.digest, ageMs: this.ageMs(), changes };
  }

  #current(): MachineContent {
    return this.#contents.get(this.#relay.digest) ?? MachineContent.EMPTY;
  }

  #take(content: MachineContent): void {
    const { digest } = content;
    this.#contents.delete(digest);
    this.#contents.set(digest, content);
    const [oldest] = this.#contents.keys();
    if (this.#contents.size > KEPT_CONTENTS) this.#contents.delete(oldest);
    if (digest === this.#relay.digest) return;
    this.#machines = [...content.machines.values()];
    const nodes = this.#machines.filter((machine) => machine.kind === "node");
    if (signatureOf(nodes) === signatureOf(this.#nodes)) return;
    this.#nodes = nodes;
    this.#nodesVersion += 1;
  }

  #tellOthers(news: SnapshotAnnouncement): void {
    for (const address of this.randomOthers(NEWS_FANOUT)) {
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
