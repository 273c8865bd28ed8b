/**
 * What one replica holds in memory for the owners of partitions: copies of records that are not in the store yet. A new
 * owner seals the partition with its epoch and gets all copies; from then on nothing is taken from owners of smaller
 * epochs. An owner that needs a majority of replicas for each record, and a successor that seals a majority, meet at one
 * replica at least: the successor finds every record that the owner has acted on. Pure.
 */

interface HeldCopy<Copy> {
  readonly epoch: number;
  /** Number of the append that brought it, counted by the owner. */
  readonly appendNumber: number;
  readonly bytes: number;
  readonly copy: Copy;
}

/** An owner of a partition; of two, the one with the larger epoch is newer, and only one can hold an epoch. */
export interface OwnerFence {
  readonly epoch: number;
  readonly owner: string;
}

interface PartitionCopies<Copy> {
  /** The newest owner that is known here: older ones are refused. */
  fence: OwnerFence;
  /** By the record's key. */
  readonly copies: Map<string, HeldCopy<Copy>>;
}

/** A record of an owner, as it is sent to a replica. */
export interface AppendedCopy<Copy> {
  readonly key: string;
  readonly bytes: number;
  readonly copy: Copy;
}

/** See the module's comment. */
export class FencedCopies<Copy> {
  readonly #maxBytes: number;
  readonly #partitions = new Map<number, PartitionCopies<Copy>>();
  #bytes = 0;

  /** @param maxBytes most bytes that are held for all partitions together */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that are held. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Takes copies from the owner of an epoch.
   *
   * @returns `kept`, `fenced` when a newer owner is known, or `full` when they do not fit: nothing is taken then
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

  /** Whether an owner is the newest one that is known here; older ones are refused from then on. */
  admit(partition: number, fence: OwnerFence): boolean {
    const held = this.#copiesOf(partition);
    if (fence.epoch < held.fence.epoch) return false;
    if (fence.epoch === held.fence.epoch && fence.owner !== held.fence.owner) return false;
    held.fence = fence;
    return true;
  }

  /** Epoch of the newest owner that is known here. */
  epochOf(partition: number): number {
    return this.#copiesOf(partition).fence.epoch;
  }

  /** All copies of a partition, for a new owner; undefined when a newer one is known. */
  seal(partition: number, fence: OwnerFence): Copy[] | undefined {
    if (!this.admit(partition, fence)) return undefined;
    return [...this.#copiesOf(partition).copies.values()].map(({ copy }) => copy);
  }

  /** Everything of epochs before `epoch`, and of `epoch` up to the append `through`, is in the store by now. */
  drop(partition: number, epoch: number, lastAppend: number): void {
    const held = this.#partitions.get(partition);
    if (!held) return;
    for (const [key, copy] of held.copies) {
      if (copy.epoch > epoch || (copy.epoch === epoch && copy.appendNumber > lastAppend)) continue;
      held.copies.delete(key);
      this.#bytes -= copy.bytes;
    }
  }

  /** A record by its key, whatever its partition. */
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

  /** Appends may overtake each other: the newer one of a record stays. */
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
