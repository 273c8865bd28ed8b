import { pino } from "pino";
import { NodeDaemon } from "../../src/node/node-daemon.ts";
import type { EngineClient } from "../../src/ports/engine/engine-client.ts";
import type { Machine } from "../../src/ports/machine-list/machine-list.ts";
import { SystemClock } from "../../src/runtime/clock.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { loadTextHash } from "../../src/runtime/text-hash.ts";
import { nodeSettingsSchema } from "../../src/settings/node-settings.ts";
import { MachineListModel } from "../../standins/machine-list/machine-list-model.ts";
import { ObjectModel } from "../../standins/objects/object-model.ts";
import { TableModel } from "../../standins/table/table-model.ts";
import { HollowNetwork } from "./hollow-network.ts";

/** Shards per node, as at the target: 8,400 shards on 2,100 nodes. */
export const SHARDS_PER_NODE = 4;
const SHARDS_PER_FAMILY = 4;
const ZONES = 9;
/** Runners per node, as at the target: 10,000 runners for 2,100 nodes. */
const RUNNERS_PER_NODE = 5;
const REPLICAS_PER_SHARD = 5;
const READY_TIMEOUT_MS = 60_000;

/** Number of requests that the platform received, by service. */
export interface PlatformCounts {
  table: number;
  machineList: number;
}

/** Many hollow nodes in this process: the real daemons, without calls, over a network that counts traffic. */
export class HollowCluster {
  readonly network = new HollowNetwork();
  readonly platform: PlatformCounts = { table: 0, machineList: 0 };
  readonly nodes: NodeDaemon[] = [];
  readonly table = new TableModel();
  readonly #machineList = new MachineListModel({ lagMs: 0, expiryMs: 30_000 });

  /** Starts `size` nodes and waits until every shard has a leader. */
  static async start(size: number): Promise<HollowCluster> {
    const cluster = new HollowCluster();
    const hash = await loadTextHash();
    for (let runner = 0; runner < size * RUNNERS_PER_NODE; runner++) cluster.#listRunner(runner);
    for (let index = 0; index < size; index++) cluster.#addNode(index, size, hash);
    await cluster.#waitForLeaders(size * SHARDS_PER_NODE);
    return cluster;
  }

  /** Stops all nodes at once. */
  stop(): void {
    for (const node of this.nodes) node.halt();
  }

  /** Number of shards that have a ready leader. */
  get shardsWithLeader(): number {
    let led = 0;
    for (const node of this.nodes) for (const replica of node.shards.all()) if (replica.leads) led += 1;
    return led;
  }

  #listRunner(index: number): void {
    this.#machineList.put(
      {
        name: `runner-${index}`,
        kind: "runner",
        pool: `model-${index % 11}`,
        zone: `zone-${index % ZONES}`,
        address: `10.1.${index >> 8}.${index & 255}:8000`,
        incarnation: "1",
        state: "live",
        models: [`model-${index % 11}`],
        slots: 64,
        kvTokens: 2_000_000,
      },
      0,
    );
  }

  #addNode(index: number, size: number, hash: Awaited<ReturnType<typeof loadTextHash>>): void {
    const name = `node-${index}`;
    const zone = `zone-${index % ZONES}`;
    const address = `10.0.${index >> 8}.${index & 255}:7000`;
    const random = new SeededRandomSource(index + 1);
    const instance = `${name}#${random.token(8)}`;
    const unusedAddress = "10.9.9.9:1";
    const settings = nodeSettingsSchema.parse({
      name,
      region: "hollow",
      zone,
      address,
      callers: unusedAddress,
      metrics: unusedAddress,
      platform: { table: unusedAddress, objects: unusedAddress, machineList: unusedAddress },
      cluster: {
        shards: size * SHARDS_PER_NODE,
        replicas: REPLICAS_PER_SHARD,
        shardsPerFamily: SHARDS_PER_FAMILY,
        firstNodes: size,
      },
      timing: TARGET_TIMING,
    });
    const daemon = new NodeDaemon(
      {
        self: { instance, address, zone },
        settings,
        clock: new SystemClock(),
        random,
        hash,
        transport: this.network.attach({ instance, address }),
        log: pino({ level: "silent" }),
      },
      {
        table: this.#tableClient(),
        objects: objectClient(),
        machineList: this.#machineListClient(),
        engine: IDLE_ENGINE,
        service: { send: async () => ({ type: "not-sent", detail: "hollow" }) },
      },
    );
    this.nodes.push(daemon);
    daemon.start();
  }

  #tableClient() {
    const { table, platform } = this;
    return {
      get: async (key: string) => {
        platform.table += 1;
        return table.get(key);
      },
      list: async (prefix: string, after: string, limit: number) => {
        platform.table += 1;
        return table.list(prefix, after, limit);
      },
      transact: async (transaction: Parameters<TableModel["transact"]>[0]) => {
        platform.table += 1;
        return table.transact(transaction);
      },
    };
  }

  #machineListClient() {
    return {
      read: async () => {
        this.platform.machineList += 1;
        return this.#machineList.read(performance.now());
      },
      report: async (machine: Machine) => {
        this.platform.machineList += 1;
        this.#machineList.report(machine, performance.now());
      },
    };
  }

  async #waitForLeaders(shards: number): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (this.shardsWithLeader < shards || !this.nodes.every((node) => node.ready)) {
      if (performance.now() > deadline)
        throw new Error(`Only ${this.shardsWithLeader} of ${shards} shards have a leader.`);
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }
}

/** The timing on which the target's budget is based; docs/CAPACITY.md describes its effect on failover time. */
export const TARGET_TIMING = {
  tickMs: 250,
  shardGroup: { electionTimeoutMs: 4_000, heartbeatIntervalMs: 1_000 },
  machineListMs: 5_000,
  machineListStaleMs: 12_000,
  configurationMs: 5_000,
  repairMs: 2_000,
  deadAfterMs: 12_000,
  loadReportMs: 2_000,
  announceMs: 2_000,
  sweepMs: 30_000,
  archiveMs: 10_000,
};

const IDLE_ENGINE: EngineClient = {
  generate: async () => ({ type: "refused", reason: "full" }),
  load: async () => ({ running: [], waiting: 0, usedKvTokens: 0, leaving: false, ageMs: 0 }),
  holds: async () => [],
  cacheEvents: async () => [],
  order: async () => true,
  exportCache: async () => undefined,
  importCache: async () => false,
};

function objectClient() {
  const model = new ObjectModel();
  return {
    put: async (key: string, bytes: Uint8Array) => void model.put(key, bytes),
    get: async (key: string) => model.get(key),
    remove: async (key: string) => model.remove(key),
    list: async (prefix: string) => model.list(prefix),
  };
}
