import type { EngineModelOptions } from "../../../standins/engine/engine-model.ts";
import { StartedProcess } from "./child-process.ts";

const CLI = "src/cli/main.ts";
const STANDINS = "standins/main.ts";
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** A process of the cluster and its addresses. */
export interface ClusterProcess {
  /** Address for callers; only nodes have one. */
  readonly callers: string;
  /** Address of the metrics and health endpoints; only nodes have one. */
  readonly metrics: string;
  readonly process: StartedProcess;
  readonly address: string;
}

/** The result of an operator's command. */
export interface CommandResult {
  readonly code: number | null;
  /** Standard output. */
  readonly output: string;
  /** Standard error. */
  readonly log: string;
}

/** The processes of a cluster and their settings. */
export interface ClusterOptions {
  readonly nodes: number;
  readonly engines: readonly EngineModelOptions[];
  readonly services?: number;
  readonly shards?: number;
  /** Additional settings of the nodes. */
  readonly settings?: Readonly<Record<string, string | number>>;
}

/** A complete system for one test: nodes, engines, services and the platform's stand-ins as processes on loopback. */
export class Cluster {
  readonly nodes: ClusterProcess[] = [];
  readonly engines: ClusterProcess[] = [];
  readonly services: ClusterProcess[] = [];
  table!: ClusterProcess;
  objects!: ClusterProcess;
  machineList!: ClusterProcess;
  readonly #options: ClusterOptions;
  readonly #started: StartedProcess[] = [];

  private constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** Starts everything and waits until the nodes are ready. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster.#startPlatform();
      await Promise.all(Array.from({ length: options.nodes }, (_, index) => cluster.startNode(index)));
      await cluster.ready();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Starts a node, which joins the others. */
  async startNode(index: number, extra: Record<string, string | number> = {}): Promise<ClusterProcess> {
    const { shards = 4, nodes } = this.#options;
    const settings = {
      name: `node-${index}`,
      region: "test",
      zone: `zone-${index % 3}`,
      address: "127.0.0.1:0",
      callers: "127.0.0.1:0",
      metrics: "127.0.0.1:0",
      "platform.table": this.table.address,
      "platform.objects": this.objects.address,
      "platform.machineList": this.machineList.address,
      "cluster.shards": shards,
      "cluster.firstNodes": nodes,
      "cluster.replicas": Math.min(5, nodes),
      "ingress.defaultTenant": "magnolia",
      ...this.#options.settings,
      ...extra,
    };
    const node = await this.#launch(CLI, ["node", ...setFlags(settings)]);
    this.nodes.push(node);
    return node;
  }

  /** Runs an operator's command against the first node and returns its result. */
  runCommand(...args: readonly string[]): Promise<CommandResult> {
    return this.runCommandAt(this.nodes[0].address, ...args);
  }

  /** Runs an operator's command against a given node and returns its result. */
  async runCommandAt(node: string, ...args: readonly string[]): Promise<CommandResult> {
    const command = this.#spawn(CLI, args, { TULIPWHEEL_NODE: node });
    const output = await command.output();
    return { code: await command.exited, output, log: command.log };
  }

  /** Waits until every node is ready. */
  async ready(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    for (const node of this.nodes) {
      while (!(await isReady(node.metrics))) {
        if (performance.now() > deadline) throw new Error(`A node is not ready: ${node.process.log}`);
        await pause(POLL_MS);
      }
    }
  }

  /** Kills every process that was started. */
  async stop(): Promise<void> {
    await Promise.all(this.#started.map((started) => started.kill()));
  }

  async #startPlatform(): Promise<void> {
    [this.table, this.objects, this.machineList] = await Promise.all([
      this.#launch(STANDINS, ["table"]),
      this.#launch(STANDINS, ["objects"]),
      this.#launch(STANDINS, ["machine-list"]),
    ]);
    await Promise.all(this.#options.engines.map((options) => this.startEngine(options)));
    const services = Array.from({ length: this.#options.services ?? 0 }, (_, index) =>
      this.#startService(index),
    );
    await Promise.all(services);
  }

  /** Starts an engine without adding it to the machine list. */
  startUnlistedEngine(options: EngineModelOptions): Promise<ClusterProcess> {
    return this.#launch(STANDINS, ["engine", "--options", JSON.stringify(options)]);
  }

  /** Starts an engine and adds it to the machine list. */
  async startEngine(options: EngineModelOptions): Promise<ClusterProcess> {
    const engine = await this.startUnlistedEngine(options);
    this.engines.push(engine);
    const { name, models, slots = 16, kvTokens = 200_000 } = options;
    await this.list({
      name,
      kind: "runner",
      pool: models[0],
      address: engine.address,
      models,
      slots,
      kvTokens,
    });
    return engine;
  }

  /** Adds a machine to the machine list. */
  async list(machine: Record<string, unknown>): Promise<void> {
    const whole = {
      zone: "zone-0",
      incarnation: "1",
      state: "live",
      slots: 0,
      kvTokens: 0,
      models: [],
      ...machine,
    };
    const response = await fetch(`http://${this.machineList.address}/machines/${machine.name}`, {
      method: "PUT",
      body: JSON.stringify(whole),
    });
    if (!response.ok) throw new Error(`The machine list responded with status ${response.status}`);
  }

  async #startService(index: number): Promise<void> {
    const service = await this.#launch(STANDINS, ["service"]);
    this.services.push(service);
    await this.list({ name: `pay-api-${index}`, kind: "service", pool: "pay-api", address: service.address });
  }

  async #launch(script: string, args: readonly string[]): Promise<ClusterProcess> {
    const started = this.#spawn(script, args);
    const { address, callers, metrics } = await started.firstLine();
    return { process: started, address, callers, metrics };
  }

  #spawn(script: string, args: readonly string[], environment: Record<string, string> = {}): StartedProcess {
    const started = new StartedProcess(script, args, environment);
    this.#started.push(started);
    return started;
  }
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function setFlags(settings: Record<string, string | number>): string[] {
  return Object.entries(settings).flatMap(([key, value]) => ["--set", `${key}=${value}`]);
}

async function isReady(metrics: string): Promise<boolean> {
  const response = await fetch(`http://${metrics}/healthz`);
  await response.arrayBuffer();
  return response.ok;
}
