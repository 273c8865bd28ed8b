/** Paces of runners as other nodes have told them last. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { LoadReport } from "./load-report.ts";
import { median } from "./median.ts";

type Paces = NonNullable<LoadReport["paces"]>;

/** See the module's comment. */
export class ReportedPaces {
  /** By runner, then by node. */
  readonly #paces = new Map<RunnerId, Map<string, number>>();

  /** What a node tells. */
  add(source: string, paces: Paces): void {
    for (const [runner, paceMs] of paces) {
      const bySource = this.#paces.get(runner) ?? new Map<string, number>();
      this.#paces.set(runner, bySource);
      bySource.set(source, paceMs);
    }
  }

  /** Drops what a node has told. */
  delete(source: string, paces: Paces): void {
    for (const [runner] of paces) {
      const bySource = this.#paces.get(runner);
      bySource?.delete(source);
      if (bySource?.size === 0) this.#paces.delete(runner);
    }
  }

  /** What all nodes have told of a runner. */
  pacesOf(runner: RunnerId): number[] {
    return [...(this.#paces.get(runner)?.values() ?? [])];
  }

  /** For each runner the median: one node that is slow itself says nothing of its own. */
  medians(): [runner: RunnerId, paceMs: number][] {
    return [...this.#paces.keys()].map((runner) => [runner, median(this.pacesOf(runner)) ?? 0]);
  }
}
