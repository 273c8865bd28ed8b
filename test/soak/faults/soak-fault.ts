import type { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { SoakCluster } from "../soak-cluster.ts";

/** A temporary fault that is injected from outside the gateway processes. */
export abstract class SoakFault {
  protected readonly cluster: SoakCluster;
  protected readonly random: SeededRandomSource;

  constructor(cluster: SoakCluster, random: SeededRandomSource) {
    this.cluster = cluster;
    this.random = random;
  }

  /** Begins the fault; returns a description of what is affected, for the log of faults. */
  abstract begin(): string;

  /** Ends the fault: everything is as before, or is recovering. */
  abstract end(): void;

  /** Resolves once all actions of the fault are done. Call it after {@link end}. */
  async settled(): Promise<void> {}

  /** Returns a random integer of at least `least` and below `most`. */
  protected between(least: number, most: number): number {
    return least + this.random.below(most - least);
  }

  protected draw<Item>(items: readonly Item[]): Item {
    const item = items[this.random.below(items.length)];
    if (item === undefined) throw new Error("no items to choose from");
    return item;
  }
}
