/** Paces of runners as other nodes have told them last. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { NodeReport } from "./load-report.ts";
import { median } from "./median.ts";

type Paces = NonNullable<NodeReport["paces"]>;

/** See the module's comment. */
export class ToldPaces {
  /** By runner, then by node. */
  readonly #paces = new Map<RunnerId, Map<string, number>>();

  /** What a node tells. */
  add(node: string, paces: Paces): void {
    for (const [runner, paceMs] of paces) {
      const told = this.#paces.get(runner) ?? new Map<string, number>();
      this.#paces.set(runner, told);
      told.set(node, paceMs);
    }
  }

  /** Drops what a node has told. */
  delete(node: string, paces: Paces): void {
    for (const [runner] of paces) {
      const told = this.#paces.get(runner);
      told?.delete(node);
      if (told?.size === 0) this.#paces.delete(runner);
    }
  }

  /** What all nodes have told of a runner. */
  of(runner: RunnerId): number[] {
    return [...(this.#paces.get(runner)?.values() ?? [])];
  }

  /** For each runner the median: one node that is slow itself says nothing of its own. */
  medians(): [runner: RunnerId, paceMs: number][] {
    return [...this.#paces.keys()].map((runner) => [runner, median(this.of(runner)) ?? 0]);
  }
}
