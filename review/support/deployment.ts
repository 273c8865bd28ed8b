/**
 * A small deployment on loopback addresses: gateways as separate processes, started by the deploy file's command with
 * settings as its template lays them out, and the platform's store as a stand-in in this process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { TestAddresses } from "../../test/process/support/test-addresses.ts";

export const HOST = "payroll.example";
const ZONE = "hall-a";
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** One gateway process. */
export interface Gateway {
  readonly name: string;
  /** Where callers send requests, IP:port. */
  readonly callers: string;
  readonly directory: string;
  readonly settingsFile: string;
  /** Its process; another one after a restart. */
  process: ChildProcess;
}

/** A route of the operator's configuration, in the platform's spelling. */
export type RouteFields = Readonly<Record<string, unknown>>;

/** Fields of a runner's entry that a case sets. */
export interface RunnerListing {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
}

/** The command of the gateway's role in the deploy file. */
function gatewayCommand(): { command: string; args: string[] } {
  const run = /^run = "([^"]+)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
  const [command, ...args] = (run ?? "").split(" ");
  if (!command) throw new Error("the deploy file names no command");
  return { command, args };
}

export class Deployment {
  readonly store = new RowStoreStandin();
  readonly gateways: Gateway[] = [];
  readonly #addresses = new TestAddresses();
  readonly #memoryMb: number;
  #folder = "";
  #storeAddress = "";

  /** @param limits the memory of a gateway's process */
  constructor({ memoryMb } = { memoryMb: 310 }) {
    this.#memoryMb = memoryMb;
  }

  /** Starts the store and puts the first configuration there. */
  async start(routes: readonly RouteFields[], services: readonly RouteFields[]): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "tulipwheel-review-"));
    this.#storeAddress = await this.store.listen();
    this.store.put("op", "config", {
      version: 1,
      routes: routes.map((route) => ({ host: HOST, priority: 0, "target-latency-ms": 200, ...route })),
      services,
      limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 1_000_000,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
      },
    });
  }

  /** Writes the entry of a runner. */
  listRunner({ id, ...fields }: RunnerListing, state: "ready" | "draining" = "ready"): void {
    const entry = { ...fields, zone: ZONE, version: "1", state };
    this.store.put("servers", id, { ...entry, "cold-remaining-ms": 0, sequence: 1 });
  }

  /** Starts gateways and waits until each of them lists all. */
  async startGateways(count: number): Promise<void> {
    const plans = Array.from({ length: count }, (_, index) => ({
      name: `front-hall-a-${index + 1}`,
      callers: this.#addresses.next(),
      directory: this.#addresses.next(),
      readiness: this.#addresses.next(),
      peers: this.#addresses.next(),
    }));
    const seeds = plans.slice(0, 3).map(({ peers }) => peers);
    for (const { name, ...listen } of plans) {
      const settings = this.#settingsOf(name, listen, seeds);
      const file = join(this.#folder, `${name}.json`);
      await writeFile(file, JSON.stringify(settings));
      const { callers, directory } = listen;
      this.gateways.push({ name, callers, directory, settingsFile: file, process: startGateway(file) });
    }
    await this.#ready();
  }

  #settingsOf(name: string, listen: object, seeds: readonly string[]): object {
    return {
      name,
      region: "dixie-east",
      zone: ZONE,
      listen,
      seeds,
      store: this.#storeAddress,
      timing: { configurationMs: 2_000, runnerDrainMs: 2_000 },
      places: { dispatchBelow: 4 },
      buffers: { memoryMb: this.#memoryMb },
    };
  }

  async #ready(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    for (const gateway of this.gateways) {
      while ((await listedAddresses(gateway)).length < this.gateways.length) {
        if (performance.now() > deadlineMs) throw new Error(`${gateway.name} did not become ready`);
        await pause(POLL_MS);
      }
    }
  }

  /** Kills all gateways at once, and starts them again after a time. Resolves when all are ready. */
  async killAll(downMs: number): Promise<void> {
    for (const { process } of this.gateways) process.kill("SIGKILL");
    await pause(downMs);
    for (const gateway of this.gateways) gateway.process = startGateway(gateway.settingsFile);
    await this.#ready();
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    for (const { process } of this.gateways) if (isRunning(process)) process.kill("SIGKILL");
    this.store.close();
    if (this.#folder !== "") await rm(this.#folder, { recursive: true, force: true });
  }
}

function startGateway(settingsFile: string): ChildProcess {
  const { command, args } = gatewayCommand();
  const { PATH = "", HOME = "", LANG = "" } = process.env;
  return spawn(command, args, {
    stdio: ["ignore", "ignore", "inherit"],
    env: { PATH, HOME, LANG, TULIPWHEEL_NODE_FILE: settingsFile },
  });
}

function isRunning(process: ChildProcess): boolean {
  return process.exitCode === null && process.signalCode === null;
}

async function listedAddresses({ directory }: Gateway): Promise<string[]> {
  const url = `http://${directory}/tulipwheel/resolve?name=${HOST}&region=dixie-east&zone=${ZONE}`;
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    return answer.ok ? ((await answer.json()) as { addresses: string[] }).addresses : [];
  } catch {
    return [];
  }
}

export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
