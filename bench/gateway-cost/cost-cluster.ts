/** Gateways in separate processes, with stand-ins of the store and of runners, and the resources the gateways use. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request as httpRequest } from "undici";
import { SETTINGS_VARIABLE } from "../../platform/settings-variable.ts";
import { putSampleConfiguration } from "../../standins/platform/put-sample-configuration.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { SAMPLE_ROUTES } from "../../standins/platform/sample-routes.ts";
import { TestAddresses } from "../../test/process/support/test-addresses.ts";

/** Size and programs of a CostCluster. */
export interface CostClusterOptions {
  readonly gateways: number;
  readonly zones: number;
  readonly runners: number;
  /** Bundles, assigned to gateways round-robin, so that several are compared side by side under the same load. */
  readonly bundles: readonly string[];
  /** Node.js flags of the gateways. */
  readonly flags: readonly string[];
  /** Folder to which one gateway writes a CPU profile; none when undefined. */
  readonly profileFolder: string | undefined;
}

/** A gateway process and its addresses. */
export interface CostGateway {
  readonly bundle: string;
  readonly callers: string;
  readonly directory: string;
  readonly process: ChildProcess;
}

/** Fraction of the runners that serve plain calls. */
const PLAIN_CALL_RUNNER_FRACTION = 0.15;
/** Interval at which runners write their rows, in ms; as on the users' platform. */
const RUNNER_HEARTBEAT_INTERVAL_MS = 1_200;
/** Interval at which the platform checks the readiness of each gateway, in ms. */
const READINESS_INTERVAL_MS = 1_000;
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 250;
const NANOSECONDS_PER_MS = 1_000_000;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Number of events in the answer of a turn, as in the users' large deployments. */
const EVENTS_PER_ANSWER = 9;

/** Starts and stops the gateways and stand-ins, and reads the gateways' resource usage from /proc. */
export class CostCluster {
  readonly gateways: CostGateway[] = [];
  readonly #options: CostClusterOptions;
  readonly #store = new RowStoreStandin();
  readonly #runners: { readonly standin: RunnerStandin; readonly row: Record<string, unknown> }[] = [];
  readonly #timers: NodeJS.Timeout[] = [];
  #folder = "";

  constructor(options: CostClusterOptions) {
    this.#options = options;
  }

  /** Starts all processes and stand-ins, and waits until the first gateway's directory lists the gateways of its zone. */
  async start(): Promise<void> {
    const storeAddress = await this.#store.listen();
    this.#folder = await mkdtemp(join(tmpdir(), "tulipwheel-cost-"));
    putSampleConfiguration(this.#store);
    for (let index = 0; index < this.#options.runners; index += 1) await this.#addRunner(index);
    await this.#addGateways(storeAddress);
    await this.#waitUntilReady();
    this.#timers.push(setInterval(() => this.#writeRunners(), RUNNER_HEARTBEAT_INTERVAL_MS));
    this.#timers.push(setInterval(() => this.#checkReadiness(), READINESS_INTERVAL_MS));
  }

  /** Mean processor time that the gateways of a bundle have used so far, in ms. */
  async processorMs(bundle: string): Promise<number> {
    return mean(
      this.#gatewaysOf(bundle).map(async ({ process }) => {
        const text = await readFile(`/proc/${process.pid}/schedstat`, "utf8");
        return Number(text.split(" ")[0]) / NANOSECONDS_PER_MS;
      }),
    );
  }

  /** Mean number of write system calls by the gateways of a bundle so far, to connections, the log and files. */
  async writes(bundle: string): Promise<number> {
    return mean(
      this.#gatewaysOf(bundle).map(async ({ process }) => {
        const text = await readFile(`/proc/${process.pid}/io`, "utf8");
        return Number(/syscw:\s+(\d+)/.exec(text)?.[1] ?? 0);
      }),
    );
  }

  /** Mean resident memory of the gateways of a bundle that is not shared with other processes, in MB. */
  async megabytes(bundle: string): Promise<number> {
    return mean(
      this.#gatewaysOf(bundle).map(async ({ process }) => {
        const text = await readFile(`/proc/${process.pid}/status`, "utf8");
        return Number(/RssAnon:\s+(\d+)/.exec(text)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
      }),
    );
  }

  /** The bundles that are compared. */
  get bundles(): readonly string[] {
    return this.#options.bundles;
  }

  #gatewaysOf(bundle: string): CostGateway[] {
    return this.gateways.filter((gateway) => gateway.bundle === bundle);
  }

  async stop(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.gateways.map(({ process }) => stopProcess(process)));
    this.#store.close();
    for (const { standin } of this.#runners) standin.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #addRunner(index: number): Promise<void> {
    const { runners, zones } = this.#options;
    const service = index < runners * PLAIN_CALL_RUNNER_FRACTION ? "api" : "engine";
    const standin = new RunnerStandin(`${service}-${index}`);
    standin.events = EVENTS_PER_ANSWER;
    const address = await standin.listen();
    const row = { service, address, zone: `zone-${index % zones}`, version: "1", slots: 6, state: "ready" };
    this.#runners.push({ standin, row });
    this.#store.put("servers", standin.id, { ...row, "cold-remaining-ms": 0, sequence: 1 });
  }

  async #addGateways(store: string): Promise<void> {
    const addresses = new TestAddresses();
    const seeds: string[] = [];
    const files: string[] = [];
    const { gateways, zones, bundles, flags, profileFolder } = this.#options;
    for (let index = 0; index < gateways; index += 1) {
      const name = `gateway-${index}`;
      const [callers, readiness, directory, peers] = [0, 1, 2, 3].map(() => addresses.next());
      if (index < 3) seeds.push(peers as string);
      const listen = { callers, readiness, directory, peers };
      const settings = { name, region: "region", zone: `zone-${index % zones}`, listen, seeds, store };
      const file = join(this.#folder, `${name}.yaml`);
      await writeFile(file, JSON.stringify(settings));
      files.push(file);
      const bundle = bundles[index % bundles.length] as string;
      this.gateways.push({
        bundle,
        callers: callers as string,
        directory: directory as string,
      } as CostGateway);
    }
    // Pass no other environment variables: certificate files named by one, for example, would be read at each start.
    for (const [index, file] of files.entries()) {
      const isProfiled = profileFolder !== undefined && index === gateways - 1;
      const profile = isProfiled ? ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`] : [];
      const gateway = this.gateways[index] as CostGateway;
      const child = spawn(process.execPath, [...flags, ...profile, gateway.bundle], {
        stdio: ["ignore", "ignore", "inherit"],
        env: { PATH: process.env.PATH, [SETTINGS_VARIABLE]: file },
      });
      this.gateways[index] = { ...gateway, process: child };
    }
  }

  async #waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    const [first] = this.gateways;
    const minDirectorySize = Math.ceil(this.gateways.length / this.#options.zones) - 1;
    while ((await this.#directorySize(first as CostGateway)) < minDirectorySize) {
      if (performance.now() > deadlineMs) throw new Error("The gateways were not ready in time.");
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  async #directorySize({ directory }: CostGateway): Promise<number> {
    try {
      const answer = await httpRequest(
        `http://${directory}/tulipwheel/resolve?name=${SAMPLE_ROUTES.host}&zone=zone-0`,
      );
      const text = await answer.body.text();
      return answer.statusCode === 200 ? (JSON.parse(text) as { addresses: string[] }).addresses.length : 0;
    } catch {
      return 0;
    }
  }

  #writeRunners(): void {
    for (const { standin, row } of this.#runners)
      this.#store.put("servers", standin.id, { ...row, "cold-remaining-ms": 0, sequence: Date.now() });
  }

  #checkReadiness(): void {
    for (const { directory } of this.gateways)
      httpRequest(`http://${directory}/tulipwheel/readyz`)
        .then(({ body }) => body.dump())
        .catch(() => undefined);
  }
}

async function mean(numbers: readonly Promise<number>[]): Promise<number> {
  const values = await Promise.all(numbers);
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function stopProcess(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGTERM");
    setTimeout(() => child.kill("SIGKILL"), 8_000).unref();
  });
}
