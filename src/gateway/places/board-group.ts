/** A group of runners as the dispatcher's own board knows them. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import { type PlaceCall, RunnerGroup } from "../../scheduling/place-queue/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { BoardGroupParts } from "./board-group-parts.ts";

const NONE: ReadonlySet<RunnerId> = new Set();

/** See the module's comment. */
export class BoardGroup extends RunnerGroup {
  readonly #parts: BoardGroupParts;
  readonly #pool: string;
  readonly #index: number;

  constructor(parts: BoardGroupParts, pool: string, index: number) {
    super();
    this.#parts = parts;
    this.#pool = pool;
    this.#index = index;
  }

  override runners(): readonly RunnerEntry[] {
    return this.#parts.groups.of(this.#pool)[this.#index]?.runners ?? [];
  }

  override unplaced(runner: RunnerId): number {
    return this.#parts.board.unplaced(runner);
  }

  override load(runner: RunnerId): number {
    return this.#parts.board.load(runner);
  }

  override usualMs(leastCalls: number): number | undefined {
    return this.#parts.board.averageMs(this.#pool, leastCalls);
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
      excluded: NONE,
      preferred,
      nowMs,
      sample: context.random.unit(),
      mayTake,
    });
  }
}
