import type { MachineChanges } from "../../messages/rpc-messages.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import type { TextHash } from "../../runtime/text-hash.ts";

const HEXADECIMAL = 16;
/** Salts of the two halves of a digest. */
const HALVES = ["first|", "second|"] as const;

/**
 * One content of the list of machines with its digest. The digest is the exclusive or of the machines' own hashes, so
 * that a change of one machine costs one hash, not one per machine of the list.
 */
export class MachineContent {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly #halves: readonly [number, number];

  private constructor(machines: ReadonlyMap<string, Machine>, halves: readonly [number, number]) {
    this.machines = machines;
    this.#halves = halves;
  }

  /** The empty list. */
  static readonly EMPTY = new MachineContent(new Map(), [0, 0]);

  /** Tells this content from every other one. */
  get digest(): string {
    const halves = this.#halves.map((half) => (half >>> 0).toString(HEXADECIMAL));
    return `${halves.join("-")}-${this.machines.size}`;
  }

  /** The content after some changes. */
  after({ whole, put, removed }: MachineChanges, hash: TextHash): MachineContent {
    const before = whole ? MachineContent.EMPTY : this;
    const machines = new Map(before.machines);
    let [first, second] = before.#halves;
    const toggle = (machine: Machine) => {
      const text = JSON.stringify(machine);
      first ^= hash.hash32(HALVES[0] + text);
      second ^= hash.hash32(HALVES[1] + text);
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
    return new MachineContent(machines, [first, second]);
  }

  /** What turns another content into this one. */
  changesFrom(before: MachineContent): MachineChanges {
    const put = [...this.machines.values()].filter((machine) => {
      const known = before.machines.get(machine.name);
      return known !== machine && JSON.stringify(known) !== JSON.stringify(machine);
    });
    const removed = [...before.machines.keys()].filter((name) => !this.machines.has(name));
    return { whole: false, put, removed };
  }
}
