import type { MachineChanges } from "../../messages/rpc-messages.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import type { TextHash } from "../../runtime/text-hash.ts";

const HEXADECIMAL = 16;
/** A digest contains two 32-bit hashes of the same text, each with its own salt. */
const HASH_SALTS = ["first|", "second|"] as const;

/**
 * An immutable snapshot of the machine list with its digest. The digest is the XOR of the hashes of all machines, so a
 * change of one machine requires hashing that machine only, not the whole list.
 */
export class MachineListSnapshot {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly #hashes: readonly [number, number];

  private constructor(machines: ReadonlyMap<string, Machine>, hashes: readonly [number, number]) {
    this.machines = machines;
    this.#hashes = hashes;
  }

  /** The snapshot of an empty list. */
  static readonly EMPTY = new MachineListSnapshot(new Map(), [0, 0]);

  /** Identifies the content: snapshots with equal machines have equal digests. */
  get digest(): string {
    const hexHashes = this.#hashes.map((hash) => (hash >>> 0).toString(HEXADECIMAL));
    return `${hexHashes.join("-")}-${this.machines.size}`;
  }

  /** Returns the snapshot that results from applying changes to this one. */
  withChanges({ whole, put, removed }: MachineChanges, hash: TextHash): MachineListSnapshot {
    const before = whole ? MachineListSnapshot.EMPTY : this;
    const machines = new Map(before.machines);
    let [first, second] = before.#hashes;
    const toggle = (machine: Machine) => {
      const text = JSON.stringify(machine);
      first ^= hash.hash32(HASH_SALTS[0] + text);
      second ^= hash.hash32(HASH_SALTS[1] + text);
    };
    const remove = (name: string) => {
      const known = machines.get(name);
      if (known) toggle(known);
      machines.delete(name);
    };
    for (const name of removed) remove(name);
    for (const machine of put) {
      remove(machine.name);
      toggle(machine);
      machines.set(machine.name, machine);
    }
    return new MachineListSnapshot(machines, [first, second]);
  }

  /** Returns the changes that turn the snapshot `before` into this one. */
  changesFrom(before: MachineListSnapshot): MachineChanges {
    const put = [...this.machines.values()].filter((machine) => {
      const known = before.machines.get(machine.name);
      return known !== machine && JSON.stringify(known) !== JSON.stringify(machine);
    });
    const removed = [...before.machines.keys()].filter((name) => !this.machines.has(name));
    return { whole: false, put, removed };
  }
}
