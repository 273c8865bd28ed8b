import type { MachineChanges } from "../../messages/rpc-messages.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import type { TextHash } from "../../runtime/text-hash.ts";

const HEXADECIMAL = 16;
/** Salts of the two halves of a digest. */
const HASH_SALTS = ["first|", "second|"] as const;

/**
 * One content of the list of machines with its digest. The digest is the exclusive or of the machines' own hashes, so
 * that a change of one machine costs one hash, not one per machine of the list.
 */
export class MachineListSnapshot {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly #hashes: readonly [number, number];

  private constructor(machines: ReadonlyMap<string, Machine>, hashes: readonly [number, number]) {
    this.machines = machines;
    this.#hashes = hashes;
  }

  /** The empty list. */
  static readonly EMPTY = new MachineListSnapshot(new Map(), [0, 0]);

  /** Tells this content from every other one. */
  get digest(): string {
    const halves = this.#hashes.map((half) => (half >>> 0).toString(HEXADECIMAL));
    return `${halves.join("-")}-${this.machines.size}`;
  }

  /** The content after some changes. */
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

  /** What turns another content into this one. */
  changesFrom(before: MachineListSnapshot): MachineChanges {
    const put = [...this.machines.values()].filter((machine) => {
      const known = before.machines.get(machine.name);
      return known !== machine && JSON.stringify(known) !== JSON.stringify(machine);
    });
    const removed = [...before.machines.keys()].filter((name) => !this.machines.has(name));
    return { whole: false, put, removed };
  }
}
