import { readFile } from "node:fs/promises";
import { EngineStandin } from "../../../standins/http/engine-standin.ts";
import type { HttpStandin } from "../../../standins/http/http-standin.ts";
import {
  machineListStandin,
  objectStandin,
  serviceStandin,
  tableStandin,
} from "../../../standins/http/platform-standins.ts";
import { ServiceModel } from "../../../standins/service/service-model.ts";
import { type RunningNode, startNode } from "../../node/start-node.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import { loadTextHash } from "../../runtime/text-hash.ts";
import { nodeSettingsSchema } from "../../settings/node-settings.ts";
import { parseYaml } from "../../settings/parse-yaml.ts";
import { configurationDocumentSchema, keyOfDocument } from "../../settings/templates/template-schema.ts";
import { OperatorClient } from "../operator-client.ts";

/** Ports of the demo; 0 selects free ports. */
export interface DemoPorts {
  /** Port of the first node for callers' requests. */
  readonly callers: number;
  /** Port of the first node for other processes; the following nodes use the next numbers. */
  readonly firstNode: number;
}

const ZONES = ["hall-a", "hall-b", "hall-c"];
const LOOPBACK = "127.0.0.1";
const SLOTS = 8;
const KV_TOKENS = 60_000;
const READY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;
const TEMPLATE_FILES = [
  "../../../examples/magnolia/templates.yaml",
  "../../../examples/rateora/templates.yaml",
];

/**
 * A complete system in one process on loopback: stand-ins for the platform and the back ends, and three nodes in three
 * zones.
 */
export class DemoSystem {
  readonly service = new ServiceModel();
  readonly engines = new Map<string, EngineStandin>();
  readonly nodes: RunningNode[] = [];
  readonly #standins: HttpStandin[] = [];
  readonly #platform: { table: string; objects: string; machineList: string };
  readonly #ports: DemoPorts;
  readonly #logLevel: string;

  private constructor(platform: DemoSystem["platform"], ports: DemoPorts, logLevel: string) {
    this.#platform = platform;
    this.#ports = ports;
    this.#logLevel = logLevel;
  }

  /** Addresses of the platform's stand-ins. */
  get platform(): { table: string; objects: string; machineList: string } {
    return this.#platform;
  }

  /** Address for callers' requests: that of the first node. */
  get address(): string {
    return this.nodes[0].callersAddress;
  }

  /** Starts all parts and applies the example templates. */
  static async start(ports: DemoPorts, logLevel: string): Promise<DemoSystem> {
    const table = tableStandin();
    const objects = objectStandin();
    const machineList = machineListStandin();
    const platform = {
      table: await table.listen(`${LOOPBACK}:0`),
      objects: await objects.listen(`${LOOPBACK}:0`),
      machineList: await machineList.standin.listen(`${LOOPBACK}:0`),
    };
    const system = new DemoSystem(platform, ports, logLevel);
    system.#standins.push(table, objects, machineList.standin);
    const addMachine = (machine: Machine) => machineList.model.put(machine, performance.now());
    await system.#startBackEnds(addMachine);
    system.nodes.push(...(await Promise.all(ZONES.map((zone, index) => system.#startNode(zone, index)))));
    await system.#waitUntilReady();
    await system.#applyTemplates();
    return system;
  }

  /** Stops a node abruptly, as if its machine had failed. */
  async killNode(index: number): Promise<void> {
    await this.nodes[index].kill();
  }

  /** Stops an engine abruptly, as if its machine had failed; its streams are interrupted. */
  async killEngine(name: string): Promise<void> {
    await this.engines.get(name)?.close();
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const engine of this.engines.values()) await engine.close();
    await Promise.all(this.#standins.map((standin) => standin.close()));
  }

  async #startBackEnds(addMachine: (machine: Machine) => void): Promise<void> {
    const hash = await loadTextHash();
    for (const [index, pool] of ["agent-llm", "agent-llm", "agent-llm", "lm-pool", "lm-pool"].entries()) {
      const name = `${pool}-${index + 1}`;
      const engine = new EngineStandin(
        { name, models: [pool], slots: SLOTS, kvTokens: KV_TOKENS, stepMs: 8 },
        hash,
      );
      this.engines.set(name, engine);
      const address = await engine.listen(`${LOOPBACK}:0`);
      const zone = ZONES[index % ZONES.length];
      addMachine(
        createMachine({
          name,
          kind: "runner",
          pool,
          zone,
          address,
          models: [pool],
          slots: SLOTS,
          kvTokens: KV_TOKENS,
        }),
      );
    }
    const service = serviceStandin(this.service);
    this.#standins.push(service);
    const address = await service.listen(`${LOOPBACK}:0`);
    addMachine(
      createMachine({ name: "pay-api-1", kind: "service", pool: "pay-api", zone: ZONES[0], address }),
    );
  }

  #startNode(zone: string, index: number): Promise<RunningNode> {
    const port = this.#ports.firstNode === 0 ? 0 : this.#ports.firstNode + index;
    return startNode(
      nodeSettingsSchema.parse({
        name: `node-${zone}`,
        region: "dixie-east",
        zone,
        address: `${LOOPBACK}:${port}`,
        callers: `${LOOPBACK}:${index === 0 ? this.#ports.callers : 0}`,
        metrics: `${LOOPBACK}:0`,
        platform: this.#platform,
        logging: { level: this.#logLevel },
      }),
    );
  }

  async #waitUntilReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.nodes.every((node) => node.daemon.ready)) {
      if (performance.now() > deadline) throw new Error("The demo's nodes did not become ready.");
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  async #applyTemplates(): Promise<void> {
    const client = await OperatorClient.connect(this.nodes[0].address);
    for (const file of TEMPLATE_FILES) {
      const text = await readFile(new URL(file, import.meta.url), "utf8");
      for (const document of parseYaml(text, file, configurationDocumentSchema, "invalid-template")) {
        const key = keyOfDocument(document.value);
        await client.ask("applyConfiguration", {
          change: `demo/${key}`,
          key,
          content: document.text,
          baseVersion: 0,
        });
      }
    }
    await client.close();
  }
}

function createMachine(
  fields: Partial<Machine> & Pick<Machine, "name" | "kind" | "pool" | "zone" | "address">,
): Machine {
  return { incarnation: "1", state: "live", models: [], slots: 0, kvTokens: 0, ...fields };
}
