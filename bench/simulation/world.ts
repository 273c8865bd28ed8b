/**
 * A complete system in virtual time: the production code of nodes, with a simulated network, platform and back ends.
 * All randomness comes from one seed, so the same seed reproduces the same run, event by event.
 */
import { pino } from "pino";
import type { Message } from "../../src/messages/message.ts";
import { Ingress } from "../../src/node/ingress/ingress.ts";
import { NodeDaemon } from "../../src/node/node-daemon.ts";
import type { Machine } from "../../src/ports/machine-list/machine-list.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { ShardRouter } from "../../src/runtime/shard-router.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import type { Sender } from "../../src/runtime/transport.ts";
import { ingressSettingsSchema } from "../../src/settings/ingress-settings.ts";
import { type NodeSettings, nodeSettingsSchema } from "../../src/settings/node-settings.ts";
import { ServiceModel } from "../../standins/service/service-model.ts";
import { SimulatedBackEnds, SimulatedEngine, SimulatedServiceMachine } from "./simulated-back-ends.ts";
import { SimulatedNetwork } from "./simulated-network.ts";
import { SimulatedPlatform } from "./simulated-platform.ts";
import { SimulatedProcess, VirtualTime } from "./virtual-time.ts";

/** Sizes of a simulated system. */
export interface WorldOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly zones: number;
  readonly engines: number;
  readonly services: number;
  readonly shards: number;
  readonly replicas: number;
  /** Number of nodes that only accept callers' requests, so that they fail independently of shard leaders. */
  readonly ingresses: number;
}

/** Default sizes: small enough to run fast, and large enough to survive the loss of two machines. */
export const DEFAULT_WORLD: Omit<WorldOptions, "seed"> = {
  nodes: 6,
  zones: 3,
  engines: 3,
  services: 2,
  shards: 6,
  replicas: 5,
  ingresses: 2,
};

/** Models that the simulated engines serve. */
export const MODELS = ["agent-llm", "side-llm"];
const ENGINE_SLOTS = 6;
const ENGINE_KV_TOKENS = 30_000;
const MAX_DRIFT = 0.002;
const TOKEN_LENGTH = 8;

/** A node's name and address. Several processes may use them, one after another. */
export interface NodeSlot {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  process: SimulatedProcess;
  daemon: NodeDaemon;
}

/** The name and address of a node that only accepts callers' requests. */
export interface IngressSlot {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  process: SimulatedProcess;
  ingress: Ingress;
}

/** Creates the system's machines, and kills, restarts and lists them. */
export class World {
  readonly time = new VirtualTime();
  readonly random: SeededRandomSource;
  readonly hash: TextHash;
  readonly network: SimulatedNetwork;
  readonly platform: SimulatedPlatform;
  readonly backEnds: SimulatedBackEnds;
  readonly ledger = new ServiceModel();
  readonly nodes: NodeSlot[] = [];
  readonly ingresses: IngressSlot[] = [];
  readonly engines: SimulatedEngine[] = [];
  readonly services: SimulatedServiceMachine[] = [];
  readonly options: WorldOptions;
  readonly trace: string[] = [];

  constructor(options: WorldOptions, hash: TextHash) {
    this.options = options;
    this.hash = hash;
    this.random = new SeededRandomSource(options.seed);
    this.network = new SimulatedNetwork(this.time, this.random);
    this.platform = new SimulatedPlatform(this.time, this.random);
    this.backEnds = new SimulatedBackEnds(this.time, this.network, this.random);
    for (let index = 0; index < options.engines; index++) this.#addEngine(index);
    for (let index = 0; index < options.services; index++) this.#addService(index);
    for (let index = 0; index < options.nodes; index++) this.nodes.push(this.#newNode(index));
    for (let index = 0; index < options.ingresses; index++) this.ingresses.push(this.#newIngress(index));
  }

  /** Appends an event to the trace, which is the same for the same seed. */
  note(event: string): void {
    this.trace.push(`${String(Math.round(this.time.nowMs)).padStart(7)} ${event}`);
  }

  /** Whether every live node is ready. */
  get ready(): boolean {
    return this.nodes.every((node) => !node.process.alive || node.daemon.ready);
  }

  /** Kills a node as if its machine had failed. */
  killNode(slot: NodeSlot): void {
    slot.process.kill();
  }

  /** Replaces a node by a new process with empty state. */
  restartNode(slot: NodeSlot): void {
    slot.process.kill();
    const fresh = this.#newNode(this.nodes.indexOf(slot));
    slot.process = fresh.process;
    slot.daemon = fresh.daemon;
  }

  /** Replaces an ingress by a new process. */
  restartIngress(slot: IngressSlot): void {
    slot.process.kill();
    const fresh = this.#newIngress(this.ingresses.indexOf(slot));
    slot.process = fresh.process;
    slot.ingress = fresh.ingress;
  }

  /** Adds or updates a machine in the platform's list. */
  listMachine(
    machine: Partial<Machine> & Pick<Machine, "name" | "kind" | "pool" | "zone" | "address">,
  ): void {
    const whole: Machine = { incarnation: "1", state: "live", models: [], slots: 0, kvTokens: 0, ...machine };
    this.platform.listModel.put(whole, this.time.nowMs);
  }

  /** Adds or updates an engine in the platform's list, with the given state. */
  listEngine(engine: SimulatedEngine, state: Machine["state"]): void {
    const { name, models } = engine.options;
    this.listMachine({
      name,
      kind: "runner",
      pool: models[0],
      zone: engine.process.zone,
      address: engine.address,
      models,
      slots: ENGINE_SLOTS,
      kvTokens: ENGINE_KV_TOKENS,
      state,
    });
  }

  #zone(index: number): string {
    return `zone-${index % this.options.zones}`;
  }

  #drift(): number {
    return 1 + (this.random.unit() * 2 - 1) * MAX_DRIFT;
  }

  #addEngine(index: number): void {
    const options = {
      name: `engine-${index}`,
      models: MODELS,
      slots: ENGINE_SLOTS,
      kvTokens: ENGINE_KV_TOKENS,
      sameTextEverywhere: false,
    };
    const engine = new SimulatedEngine(
      options,
      this.#zone(index),
      `10.0.1.${index}:8000`,
      this.time,
      this.hash,
    );
    this.engines.push(engine);
    this.backEnds.engines.set(engine.address, engine);
    this.listEngine(engine, "live");
  }

  #addService(index: number): void {
    const name = `pay-api-${index}`;
    const address = `10.0.2.${index}:8000`;
    const machine = new SimulatedServiceMachine(name, this.#zone(index), address, this.time, this.ledger);
    this.services.push(machine);
    this.backEnds.services.set(address, machine);
    this.listMachine({ name, kind: "service", pool: "pay-api", zone: this.#zone(index), address });
  }

  #newNode(index: number): NodeSlot {
    const name = `node-${index}`;
    const zone = this.#zone(index);
    const address = `10.0.0.${index}:7000`;
    const process = new SimulatedProcess(name, zone, this.time, this.#drift());
    const instance = `${name}#${this.random.token(TOKEN_LENGTH)}`;
    const transport = this.network.attach(process, { instance, address });
    const settings = this.#nodeSettings(name, zone, address);
    const random = new SeededRandomSource(this.random.below(2 ** 30));
    const log = pino({ level: "silent" });
    const context = {
      self: { instance, address, zone },
      settings,
      clock: process,
      random,
      hash: this.hash,
      transport,
      log,
    };
    const daemon = new NodeDaemon(context, {
      table: this.platform.tableFor(process),
      objects: this.platform.objectsFor(process),
      machineList: this.platform.machineListFor(process),
      engine: this.backEnds.engineClientFor(process),
      service: this.backEnds.serviceClientFor(process),
    });
    daemon.start();
    return { name, zone, address, process, daemon };
  }

  #nodeSettings(name: string, zone: string, address: string): NodeSettings {
    const { shards, replicas, nodes } = this.options;
    const unused = "10.0.9.9:1";
    return nodeSettingsSchema.parse({
      name,
      region: "simulated",
      zone,
      address,
      callers: unused,
      metrics: unused,
      platform: { table: unused, objects: unused, machineList: unused },
      cluster: { shards, replicas, firstNodes: nodes, shardsPerFamily: 1 },
    });
  }

  #newIngress(index: number): IngressSlot {
    const name = `ingress-${index}`;
    const zone = this.#zone(index);
    const address = `10.0.3.${index}:7000`;
    const process = new SimulatedProcess(name, zone, this.time, this.#drift());
    const instance = `${name}#${this.random.token(TOKEN_LENGTH)}`;
    const random = new SeededRandomSource(this.random.below(2 ** 30));
    const transport = this.network.attach(process, { instance, address });
    const rpc = new RpcEndpoint(transport, process, random);
    const router = new ShardRouter(rpc, process, random, () => this.nodes.map((node) => node.address));
    const ingress = new Ingress({
      settings: ingressSettingsSchema.parse({}),
      clock: process,
      random,
      hash: this.hash,
      transport,
      router,
      shardCount: this.options.shards,
    });
    transport.onMessage((message, from) => deliver(message, from, rpc, ingress));
    return { name, zone, address, process, ingress };
  }
}

/** Passes an ingress's messages to its RPC endpoint or to its calls. */
function deliver(message: Message, from: Sender, rpc: RpcEndpoint, ingress: Ingress): void {
  switch (message.type) {
    case "rpcResponse":
      return rpc.onResponse(message);
    case "callAccepted":
    case "callRedirected":
    case "callChunk":
    case "callFinished":
    case "callFailed":
      return ingress.onCallEvent(message, from.address);
  }
}
