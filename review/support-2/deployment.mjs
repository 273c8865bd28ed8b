/**
 * Gateways as separate processes, started with the command of the deploy file and with settings as `deploy/settings.json`
 * yields them for a small deployment, beside a store and runners in this process. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Runner } from "./runner.mjs";
import { Store } from "./store.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const HOST = "ficu95.example";
const READY_TIMEOUT_MS = 20_000;
const HEARTBEAT_MS = 1_200;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** An address of this run's own: outgoing connections have 127.0.0.1, so none of them takes its ports. */
const IP = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 256}.${1 + (process.pid % 250)}`;

/** Returns a free port of this run's address. */
async function freeAddress() {
  const server = createServer();
  await new Promise((done) => server.listen(0, IP, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return `${IP}:${port}`;
}

/** The command by which the deploy file starts a gateway: the arguments of `node`. */
function gatewayArguments() {
  const [, command] = /^run = "node ([^"]*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"));
  return command.split(" ");
}

/** The lines that say what was sent, answered and run. */
export class Record {
  #stream;
  #startedMs = performance.now();

  constructor(folder) {
    this.#stream = createWriteStream(join(folder, "record.txt"));
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedMs) / 1_000).toFixed(3);
    this.#stream.write(`${seconds.padStart(8)} s  ${text}\n`);
  }

  end() {
    return new Promise((done) => this.#stream.end(done));
  }
}

export class Deployment {
  /** The IP address of all that is started. */
  ip = IP;
  store = new Store();
  runners = [];
  gateways = [];
  #services = new Map();
  #sequence = 0;
  #folder = mkdtempSync(join(tmpdir(), "tulipwheel-review-"));
  #heartbeats;
  #storeAddress;

  /** Starts the store, the runners and the gateways, and waits until all gateways know each other. */
  async start({ configuration, services, gateways, settings = {} }) {
    this.#storeAddress = await this.store.listen(IP);
    for (const [service, runners] of Object.entries(services))
      for (const runner of runners) await this.addRunner(service, runner);
    this.store.put("op", "config", configuration);
    this.#heartbeats = setInterval(() => this.#writeRows(), HEARTBEAT_MS);
    for (let index = 0; index < gateways; index += 1) await this.#addGateway(index, settings);
    await this.ready();
  }

  async addRunner(service, runner) {
    await runner.listen(IP);
    this.runners.push(runner);
    this.#services.set(runner, service);
    this.store.put("servers", runner.id, runner.row(service, this.#sequence));
  }

  #writeRows() {
    this.#sequence += 1;
    for (const [runner, service] of this.#services)
      this.store.put("servers", runner.id, runner.row(service, this.#sequence));
  }

  async #addGateway(index, more) {
    const name = `front-mi-nord-${index + 1}`;
    const listen = {};
    for (const use of ["callers", "readiness", "directory", "peers"]) listen[use] = await freeAddress();
    const settings = {
      name,
      region: "milano",
      zone: "mi-nord",
      listen,
      seeds: this.gateways.slice(0, 3).map((gateway) => gateway.listen.peers),
      store: this.#storeAddress,
      timing: { graceS: 8, configurationMs: 2_000, runnerDrainMs: 2_000 },
      budget: { settleMs: 1_000 },
      places: { dispatchBelow: 4 },
      buffers: { memoryMb: 380 },
      ...more,
    };
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const gateway = { name, listen, file, child: undefined, log: "" };
    this.gateways.push(gateway);
    this.restart(gateway);
  }

  /** Starts the process of a gateway, as the platform does after its end. */
  restart(gateway) {
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, TULIPWHEEL_NODE_FILE: gateway.file };
    const child = spawn(process.execPath, gatewayArguments(), {
      cwd: ROOT,
      env,
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on("data", (text) => {
        gateway.log += text;
      });
    gateway.exited = new Promise((done) => child.once("exit", done));
    gateway.child = child;
  }

  /** Waits until every gateway is ready, and its directory names all of them. */
  async ready() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const { listen, name, log } of this.gateways) {
      const url = `http://${listen.directory}/tulipwheel/resolve?name=${HOST}&region=milano&zone=mi-nord`;
      for (;;) {
        const { status, body } = await get(url);
        if (status === 200 && JSON.parse(body).addresses.length === this.gateways.length) break;
        if (performance.now() > untilMs) throw new Error(`${name} is not ready: ${log}`);
        await pause(50);
      }
    }
  }

  /** Ends everything that was started. */
  async stop() {
    clearInterval(this.#heartbeats);
    for (const { child } of this.gateways) child?.kill("SIGKILL");
    await Promise.all(this.gateways.map(({ exited }) => exited));
    this.store.close();
    for (const runner of this.runners) runner.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

function get(url) {
  return new Promise((resolve) => {
    const sent = request(url, { timeout: 1_000 }, (answer) => {
      let body = "";
      answer.on("data", (chunk) => {
        body += chunk;
      });
      answer.on("end", () => resolve({ status: answer.statusCode, body }));
      answer.on("error", () => resolve({ status: 0, body: "" }));
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve({ status: 0, body: "" }));
    sent.end();
  });
}

/** Limits of callers in a configuration. */
export const LIMITS = {
  "max-header-bytes": 16_384,
  "max-body-bytes": 1_000_000,
  "header-timeout-ms": 3_000,
  "idle-timeout-ms": 15_000,
};

/** A route with what most of them have in common. */
export function route(name, prefix, kind, service, more = {}) {
  const common = { "timeout-ms": 3_000, "target-latency-ms": 200, priority: 0 };
  return { name, host: HOST, "path-prefix": prefix, kind, ...common, service, ...more };
}

/** Sends one request on a connection of its own; resolves when its answer has ended, well or badly. */
export function send(address, { method = "POST", path, headers, body = "", deadlineMs = 3_000 }) {
  const [host, port] = address.split(":");
  const options = { host, port, method, path, headers: { Host: HOST, ...headers }, agent: false };
  return new Promise((resolve) => {
    const chunks = [];
    let answer;
    const finish = (whole, error) => {
      clearTimeout(timer);
      resolve({
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks),
        whole,
        error,
      });
    };
    const sent = request(options, (response) => {
      answer = response;
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => finish(response.complete));
      response.on("error", (error) => finish(false, error.code));
    });
    const timer = setTimeout(() => sent.destroy(new Error("deadline")), deadlineMs);
    sent.on("error", (error) => finish(false, error.code ?? error.message));
    sent.end(body);
  });
}

export { Runner, Store };
