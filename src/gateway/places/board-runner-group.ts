/** A group of runners whose state is read from the dispatcher's own runner board. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import { type PlaceCall, RunnerGroup } from "../../scheduling/place-queue/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { BoardRunnerGroupParts } from "./board-runner-group-parts.ts";

const NO_RUNNERS: ReadonlySet<RunnerId> = new Set();

export class BoardRunnerGroup extends RunnerGroup {
  readonly #parts: BoardRunnerGroupParts;
  readonly #pool: string;
  readonly #index: number;

  constructor(parts: BoardRunnerGroupParts, pool: string, index: number) {
    super();
    this.#parts = parts;
    this.#pool = pool;
    this.#index = index;
  }

  override runners(): readonly RunnerEntry[] {
    return this.#parts.groups.of(this.#pool)[this.#index]?.runners ?? [];
  }

  override undispatched(runner: RunnerId): number {
    return this.#parts.board.unplaced(runner);
  }

  override load(runner: RunnerId): number {
    return this.#parts.board.load(runner);
  }

  override averageCallMs(minCalls: number): number | undefined {
    return this.#parts.board.averageMs(this.#pool, minCalls);
  }

  override get memoryTokens(): number | undefined {
    return this.#parts.memoryTokens(this.#pool);
  }

  override choose(
    { preferred }: PlaceCall,
    nowMs: number,
    mayTake: (runner: RunnerEntry) => boolean,
  ): RunnerEntry | undefined {
    const { board, context } = this.#parts;
    return board.choose({
      pool: this.#pool,
      zone: context.settings.zone,
      excluded: NO_RUNNERS,
      preferred,
      nowMs,
      sample: context.random.unit(),
      mayTake,
    });
  }
}
