/** The paces of runners that other gateways last reported. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { LoadReport } from "./load-report.ts";
import { median } from "./median.ts";

type Paces = NonNullable<LoadReport["paces"]>;

/** The latest reported time of a step, in ms, by runner and source. */
export class ReportedPaces {
  /** Keyed by runner, then by source. */
  readonly #paces = new Map<RunnerId, Map<string, number>>();

  /** Adds the paces that a source reports. */
  add(source: string, paces: Paces): void {
    for (const [runner, paceMs] of paces) {
      const bySource = this.#paces.get(runner) ?? new Map<string, number>();
      this.#paces.set(runner, bySource);
      bySource.set(source, paceMs);
    }
  }

  /** Deletes the paces that a source has reported. */
  delete(source: string, paces: Paces): void {
    for (const [runner] of paces) {
      const bySource = this.#paces.get(runner);
      bySource?.delete(source);
      if (bySource?.size === 0) this.#paces.delete(runner);
    }
  }

  /** The paces that all sources have reported for a runner. */
  pacesOf(runner: RunnerId): number[] {
    return [...(this.#paces.get(runner)?.values() ?? [])];
  }

  /** The median pace of each runner, so that one gateway that is slow itself has no effect. */
  medians(): [runner: RunnerId, paceMs: number][] {
    return [...this.#paces.keys()].map((runner) => [runner, median(this.pacesOf(runner)) ?? 0]);
  }
}
