import type { EngineClient } from "../../ports/engine/engine-client.ts";
import { repeat } from "../../runtime/clock.ts";
import type { ShardRouter } from "../../runtime/shard-router.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardHost } from "../shard-host.ts";
import type { RunnerHome } from "./runner-home.ts";
import type { RunnerHomes } from "./runner-homes.ts";

const FIND_TIMEOUT_MS = 3_000;

/**
 * Periodically releases engine memory that is held for programs that no longer exist. It reads the list of holds from
 * each engine and asks the shards which of these programs are gone. It depends on no event, so it also finds the holds
 * that remain after lost events and after crashes of home nodes and shard leaders.
 */
export class HoldSweeper {
  readonly #context: NodeContext;
  readonly #homes: RunnerHomes;
  readonly #shards: ShardHost;
  readonly #router: ShardRouter;
  readonly #engine: EngineClient;
  #stop: () => void = () => undefined;
  #sweeping = false;

  constructor(
    context: NodeContext,
    homes: RunnerHomes,
    shards: ShardHost,
    router: ShardRouter,
    engine: EngineClient,
  ) {
    this.#context = context;
    this.#homes = homes;
    this.#shards = shards;
    this.#router = router;
    this.#engine = engine;
  }

  /** Starts the periodic sweeps. */
  start(): void {
    this.#stop = repeat(this.#context.clock, this.#context.settings.timing.sweepMs, () => void this.#sweep());
  }

  /** Stops the periodic sweeps. */
  stop(): void {
    this.#stop();
  }

  async #sweep(): Promise<void> {
    if (this.#sweeping) return;
    this.#sweeping = true;
    try {
      await Promise.all([...this.#homes.all()].map((home) => this.#sweepRunner(home)));
    } finally {
      this.#sweeping = false;
    }
  }

  async #sweepRunner(home: RunnerHome): Promise<void> {
    try {
      const holds = await this.#engine.holds(home.machine.address);
      const byShard = new Map<number, string[]>();
      for (const { program } of holds) {
        const shard = this.#shards.shardOfProgram(program);
        byShard.set(shard, [...(byShard.get(shard) ?? []), program]);
      }
      for (const [shard, programs] of byShard) await this.#releaseEndedPrograms(home, shard, programs);
    } catch {
      // The engine or a shard leader did not respond. The next sweep retries.
    }
  }

  async #releaseEndedPrograms(home: RunnerHome, shard: number, programs: readonly string[]): Promise<void> {
    const { gone } = await this.#router.ask(shard, "findGone", { programs }, FIND_TIMEOUT_MS);
    for (const program of gone) {
      await this.#homes.releaseHold(home, program);
    }
  }
}
