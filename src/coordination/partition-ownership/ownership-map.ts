/** Who owns a partition, as far as one node has heard. */
export interface Ownership {
  /** Name of the owner's process incarnation. */
  readonly instance: string;
  /** Version of the store at which the owner took over; larger ones are newer. */
  readonly epoch: number;
}

/** What one node has heard of owners. Hearsay only: the owner's writes are fenced where they land, in the store. */
export class OwnershipMap {
  readonly #owners = new Map<number, Ownership>();

  /** The newest owner that was heard of. */
  owner(partition: number): Ownership | undefined {
    return this.#owners.get(partition);
  }

  /** Takes in what an owner says of itself. Returns whether it is news. */
  learn(partition: number, ownership: Ownership): boolean {
    const known = this.#owners.get(partition);
    if (known && known.epoch >= ownership.epoch) return false;
    this.#owners.set(partition, ownership);
    return true;
  }

  /** Forgets an owner that said it has let go, or is gone. */
  forget(partition: number, instance: string): void {
    if (this.#owners.get(partition)?.instance === instance) this.#owners.delete(partition);
  }

  /** Takes in everything that an incarnation says it owns: what it does not name, it has let go. */
  learnAll(instance: string, owned: readonly (readonly [partition: number, epoch: number])[]): void {
    const named = new Set(owned.map(([partition]) => partition));
    for (const [partition, owner] of this.#owners) {
      if (owner.instance === instance && !named.has(partition)) this.#owners.delete(partition);
    }
    for (const [partition, epoch] of owned) this.learn(partition, { instance, epoch });
  }

  /** Forgets everything that an incarnation owned. */
  forgetInstance(instance: string): void {
    for (const [partition, owner] of this.#owners) {
      if (owner.instance === instance) this.#owners.delete(partition);
    }
  }
}
