/** Who owns a partition, as far as one node has heard. */
export interface Ownership {
  /** Name of the owner's process incarnation. */
  readonly instance: string;
  /** Version of the store at which the owner took over; larger ones are newer. */
  readonly epoch: number;
}

/** What one node has heard of owners. Not authoritative: the store fences the writes of each owner. */
export class OwnershipMap {
  readonly #owners = new Map<number, Ownership>();
  /** Partitions of each owner, so that what one owner says costs nothing for those of the others. */
  readonly #partitions = new Map<string, Set<number>>();

  /** The newest owner that was heard of. */
  owner(partition: number): Ownership | undefined {
    return this.#owners.get(partition);
  }

  /** Records what an owner says of itself. Returns whether it is news. */
  recordOwner(partition: number, ownership: Ownership): boolean {
    const known = this.#owners.get(partition);
    if (known && known.epoch >= ownership.epoch) return false;
    if (known) this.#remove(partition, known.instance);
    this.#owners.set(partition, ownership);
    const partitions = this.#partitions.get(ownership.instance);
    if (partitions) partitions.add(partition);
    else this.#partitions.set(ownership.instance, new Set([partition]));
    return true;
  }

  /** Forgets an owner that has released the partition, or is gone. */
  forget(partition: number, instance: string): void {
    if (this.#owners.get(partition)?.instance === instance) this.#remove(partition, instance);
  }

  /** Records all partitions that an incarnation owns: those that it does not name, it has released. */
  recordAllOwned(instance: string, owned: readonly (readonly [partition: number, epoch: number])[]): void {
    const known = this.#partitions.get(instance);
    if (known) {
      const named = new Set(owned.map(([partition]) => partition));
      for (const partition of [...known]) if (!named.has(partition)) this.#remove(partition, instance);
    }
    for (const [partition, epoch] of owned) this.recordOwner(partition, { instance, epoch });
  }

  /** Forgets everything that an incarnation owned. */
  forgetInstance(instance: string): void {
    for (const partition of [...(this.#partitions.get(instance) ?? [])]) this.#remove(partition, instance);
  }

  #remove(partition: number, instance: string): void {
    this.#owners.delete(partition);
    const partitions = this.#partitions.get(instance);
    partitions?.delete(partition);
    if (partitions?.size === 0) this.#partitions.delete(instance);
  }
}
