/** Runners that end, because of a request or because they are killed, and start again later as others. */
import type { ConnectionProbe } from "../../../src/ports/probe-connection.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../../src/scheduling/ids/software-version.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import type { GatewayWorld } from "./gateway-world.ts";

/** The pool that all of them belong to. */
export const ENDING_POOL = "pool";
const RESTART_MS = 1_500;

/** One run that a runner has in progress. */
export interface RunInProgress {
  /** Called when the runner ends. */
  readonly onBroken: () => void;
}

export class EndingRunner {
  readonly entry: RunnerEntry;
  readonly runs = new Set<RunInProgress>();
  hasEnded = false;
  /** The request that has ended it, or that it was killed. */
  endedBy = "";

  constructor(name: string) {
    this.entry = {
      id: name as RunnerId,
      name: name as RunnerName,
      startedAtMs: undefined,
      pool: ENDING_POOL,
      address: name,
      zone: "zone-0",
      version: "1" as SoftwareVersion,
      slots: 100,
      state: "ready",
    };
  }
}

export class EndingRunners {
  readonly #world: GatewayWorld;
  readonly #runners: EndingRunner[] = [];
  #starts = 0;
  #kills = 0;

  constructor(world: GatewayWorld, count: number) {
    this.#world = world;
    for (let index = 0; index < count; index += 1) this.#start();
  }

  /** Those that run. */
  get running(): EndingRunner[] {
    return this.#runners.filter(({ hasEnded }) => !hasEnded);
  }

  /** What a connection to a runner shows. */
  probe(address: string): ConnectionProbe {
    const runner = this.#runners.find(({ entry }) => entry.address === address);
    return runner?.hasEnded === false ? "accepted" : "refused";
  }

  /** Ends a runner and breaks its runs; another one starts in its place later. */
  end(runner: EndingRunner, cause: string): void {
    if (runner.hasEnded) return;
    runner.hasEnded = true;
    runner.endedBy = cause;
    for (const run of [...runner.runs]) run.onBroken();
    this.#world.time.after(RESTART_MS, () => this.#start());
  }

  /** Kills a share of the runners at once. */
  kill(share: number): void {
    this.#kills += 1;
    for (const runner of this.running)
      if (this.#world.random.unit() < share) this.end(runner, `kill ${this.#kills}`);
  }

  #start(): void {
    this.#starts += 1;
    this.#runners.push(new EndingRunner(`runner-${this.#starts}`));
  }
}
