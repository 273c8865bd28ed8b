/** The owner of a partition, as known to one node. */
export interface Ownership {
  /** Name of the owner's process incarnation. */
  readonly instance: string;
  /** Version of the store at which the owner took over; a larger epoch is newer. */
  readonly epoch: number;
}

/** One node's view of the partition owners. Not authoritative: the store fences the writes of each owner. */
export class OwnershipMap {
  readonly #owners = new Map<number, Ownership>();
  /** Partitions by owner, so that an update from one owner need not look at the partitions of all others. */
  readonly #partitions = new Map<string, Set<number>>();

  /** Returns the newest known owner of a partition. */
  owner(partition: number): Ownership | undefined {
    return this.#owners.get(partition);
  }

  /** Records an owner's claim to a partition. Returns whether it is newer than the known one. */
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

  /** Removes an owner that has released the partition or has ended. */
  forget(partition: number, instance: string): void {
    if (this.#owners.get(partition)?.instance === instance) this.#remove(partition, instance);
  }

  /** Records all partitions that an incarnation owns. Partitions that are not listed have been released. */
  recordAllOwned(instance: string, owned: readonly (readonly [partition: number, epoch: number])[]): void {
    const known = this.#partitions.get(instance);
    if (known) {
      const named = new Set(owned.map(([partition]) => partition));
      for (const partition of [...known]) if (!named.has(partition)) this.#remove(partition, instance);
    }
    for (const [partition, epoch] of owned) this.recordOwner(partition, { instance, epoch });
  }

  /** Removes all partitions of an incarnation. */
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
