/**
 * In-memory copies of records that are not in the store yet, held by one replica for the owners of partitions. A new
 * owner seals the partition with its epoch and gets all copies. From then on, appends from owners with smaller epochs
 * are refused. If an owner waits for a majority of replicas for each record, and its successor seals a majority, then
 * both majorities share at least one replica, so the successor finds every record that the owner has acted on. Pure.
 */

interface HeldCopy<Copy> {
  readonly epoch: number;
  /** Number of the append that contained the copy, as counted by the owner. */
  readonly appendNumber: number;
  readonly bytes: number;
  readonly copy: Copy;
}

/**
 * Identifies an owner of a partition. Of two owners, the one with the larger epoch is newer; an epoch has one owner.
 */
export interface OwnerFence {
  readonly epoch: number;
  readonly owner: string;
}

interface PartitionCopies<Copy> {
  /** The newest owner known to this replica; older ones are refused. */
  fence: OwnerFence;
  /** Copies by record key. */
  readonly copies: Map<string, HeldCopy<Copy>>;
}

/** A record as sent by an owner to a replica. */
export interface AppendedCopy<Copy> {
  readonly key: string;
  readonly bytes: number;
  readonly copy: Copy;
}

/** Holds the copies of one replica, and refuses owners that have been replaced. */
export class FencedCopies<Copy> {
  readonly #maxBytes: number;
  readonly #partitions = new Map<number, PartitionCopies<Copy>>();
  #bytes = 0;

  /** @param maxBytes maximum number of bytes held for all partitions together */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Number of bytes held. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Adds copies sent by an owner.
   *
   * @returns `kept`; `fenced` if a newer owner is known; or `full` if the copies don't fit, in which case none is added
   */
  append(
    partition: number,
    fence: OwnerFence,
    appendNumber: number,
    copies: readonly AppendedCopy<Copy>[],
  ): "kept" | "fenced" | "full" {
    const bytes = copies.reduce((sum, copy) => sum + copy.bytes, 0);
    if (!this.admit(partition, fence)) return "fenced";
    if (this.#bytes + bytes > this.#maxBytes) return "full";
    const held = this.#copiesOf(partition);
    for (const copy of copies)
      this.#keepNewest(held, copy.key, { ...copy, epoch: fence.epoch, appendNumber });
    return "kept";
  }

  /** Returns whether an owner is the newest one known to this replica. Older owners are refused from then on. */
  admit(partition: number, fence: OwnerFence): boolean {
    const held = this.#copiesOf(partition);
    if (fence.epoch < held.fence.epoch) return false;
    if (fence.epoch === held.fence.epoch && fence.owner !== held.fence.owner) return false;
    held.fence = fence;
    return true;
  }

  /** Returns the epoch of the newest owner known to this replica. */
  epochOf(partition: number): number {
    return this.#copiesOf(partition).fence.epoch;
  }

  /** Returns all copies of a partition to a new owner, and fences older owners; undefined if a newer owner is known. */
  seal(partition: number, fence: OwnerFence): Copy[] | undefined {
    if (!this.admit(partition, fence)) return undefined;
    return [...this.#copiesOf(partition).copies.values()].map(({ copy }) => copy);
  }

  /** Removes the copies that are in the store: all of earlier epochs, and those of `epoch` up to `lastAppend`. */
  drop(partition: number, epoch: number, lastAppend: number): void {
    const held = this.#partitions.get(partition);
    if (!held) return;
    for (const [key, copy] of held.copies) {
      if (copy.epoch > epoch || (copy.epoch === epoch && copy.appendNumber > lastAppend)) continue;
      held.copies.delete(key);
      this.#bytes -= copy.bytes;
    }
  }

  /** Finds a record by its key in any partition. */
  find(key: string): Copy | undefined {
    for (const { copies } of this.#partitions.values()) {
      const held = copies.get(key);
      if (held) return held.copy;
    }
    return undefined;
  }

  #copiesOf(partition: number): PartitionCopies<Copy> {
    const known = this.#partitions.get(partition);
    if (known) return known;
    const held = { fence: { epoch: 0, owner: "" }, copies: new Map<string, HeldCopy<Copy>>() };
    this.#partitions.set(partition, held);
    return held;
  }

  /** Appends may arrive out of order, so the newer copy of a record is kept. */
  #keepNewest(held: PartitionCopies<Copy>, key: string, copy: HeldCopy<Copy>): void {
    const known = held.copies.get(key);
    const isOlder =
      known &&
      (known.epoch > copy.epoch || (known.epoch === copy.epoch && known.appendNumber > copy.appendNumber));
    if (isOlder) return;
    this.#bytes += copy.bytes - (known?.bytes ?? 0);
    held.copies.set(key, copy);
  }
}
