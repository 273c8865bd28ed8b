/** Runners of several software versions, as the platform's list shows them. Releases replace them one after the other. */
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../../src/scheduling/ids/software-version.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import type { GatewayWorld } from "./gateway-world.ts";
import { RUNNER_TABLE } from "./simulated-gateway.ts";

/** The pool of all simulated runners. */
export const POOL = "pool";

const RUNNERS = 8;
const HEARTBEAT_MS = 1_200;
/** A runner that leaves says so first, and serves on for this long, in ms. */
const DRAIN_MS = 2_000;
const STEP_MS = 1_000;
const PAUSE_MS = 6_000;

export class SimulatedRunners {
  readonly #world: GatewayWorld;
  /** The listed runners, oldest first. */
  readonly #entries: RunnerEntry[] = [];
  #started = 0;
  #releases = 1;

  constructor(world: GatewayWorld) {
    this.#world = world;
    for (let index = 0; index < RUNNERS; index += 1) this.#start();
  }

  /** Number of listed runners that serve a version and are not leaving. */
  serving(version: SoftwareVersion): number {
    return this.#entries.filter((entry) => entry.version === version && entry.state === "ready").length;
  }

  /** Releases a new version now and then, until `untilMs`: it replaces half of the runners, one each second. */
  release(untilMs: number): void {
    if (this.#world.time.nowMs >= untilMs) return;
    this.#releases += 1;
    for (let step = 0; step < RUNNERS / 2; step += 1)
      this.#world.time.after(step * STEP_MS, () => this.#replaceOldest());
    this.#world.time.after((RUNNERS / 2) * STEP_MS + PAUSE_MS, () => this.release(untilMs));
  }

  #start(): void {
    this.#started += 1;
    const id = `runner-${this.#started}`;
    const entry: RunnerEntry = {
      id: id as RunnerId,
      name: id as RunnerName,
      startedAtMs: undefined,
      pool: POOL,
      address: "127.0.0.1:1",
      zone: "zone-0",
      version: `v${this.#releases}` as SoftwareVersion,
      slots: 8,
      state: "ready",
    };
    this.#entries.push(entry);
    this.#renew(entry.id);
  }

  #replaceOldest(): void {
    this.#start();
    const index = this.#entries.findIndex(({ state }) => state === "ready");
    const oldest = this.#entries[index];
    if (!oldest) return;
    this.#entries[index] = { ...oldest, state: "draining" };
    this.#write(oldest.id);
    this.#world.time.after(DRAIN_MS, () => this.#remove(oldest.id));
  }

  #renew(id: RunnerId): void {
    if (!this.#write(id)) return;
    this.#world.time.after(HEARTBEAT_MS, () => this.#renew(id));
  }

  #write(id: RunnerId): boolean {
    const entry = this.#entries.find((candidate) => candidate.id === id);
    if (!entry) return false;
    const value = Buffer.from(JSON.stringify(entry)).toString("base64");
    const row = { table: RUNNER_TABLE, part: "", key: entry.name, value };
    this.#world.store.model.transact({ conditions: [], puts: [row], removes: [] });
    return true;
  }

  #remove(id: RunnerId): void {
    const index = this.#entries.findIndex((entry) => entry.id === id);
    this.#entries.splice(index, 1);
    const row = { table: RUNNER_TABLE, part: "", key: id };
    this.#world.store.model.transact({ conditions: [], puts: [], removes: [row] });
  }
}
