import type { Machine } from "../../src/ports/machine-list/machine-list.ts";

/** Options of a {@link MachineListModel}. */
export interface MachineListModelOptions {
  /** Delay before a change becomes visible in the list, in ms. Default 300. */
  readonly lagMs?: number;
  /** Time after which a node that does not report is removed, in ms. Default 3,000. */
  readonly expiryMs?: number;
}

interface ListedMachine {
  readonly machine: Machine;
  readonly reportedAtMs: number;
  /** Whether the machine stays until it is removed, as runners and services do. */
  readonly permanent: boolean;
}

/** The platform's list of machines. It is stale by `lagMs`, and nodes that stop reporting stay until they expire. */
export class MachineListModel {
  readonly #lagMs: number;
  readonly #expiryMs: number;
  readonly #machines = new Map<string, ListedMachine>();
  #snapshots: { readonly atMs: number; readonly machines: readonly Machine[] }[] = [
    { atMs: 0, machines: [] },
  ];

  constructor(options: MachineListModelOptions = {}) {
    this.#lagMs = options.lagMs ?? 300;
    this.#expiryMs = options.expiryMs ?? 3_000;
  }

  /** Adds or updates a machine that stays until it is removed. */
  put(machine: Machine, nowMs: number): void {
    this.#machines.set(machine.name, { machine, reportedAtMs: nowMs, permanent: true });
    this.#publish(nowMs);
  }

  /** Records a machine's report that it is running. */
  report(machine: Machine, nowMs: number): void {
    this.#machines.set(machine.name, { machine, reportedAtMs: nowMs, permanent: false });
    this.#publish(nowMs);
  }

  /** Removes a machine. */
  remove(name: string, nowMs: number): void {
    this.#machines.delete(name);
    this.#publish(nowMs);
  }

  /** The list as it was `lagMs` ago. */
  read(nowMs: number): readonly Machine[] {
    this.#publish(nowMs);
    const visible = this.#snapshots.findLast(({ atMs }) => atMs <= nowMs - this.#lagMs) ?? this.#snapshots[0];
    this.#snapshots = this.#snapshots.slice(this.#snapshots.indexOf(visible));
    return visible.machines;
  }

  #publish(nowMs: number): void {
    const machines: Machine[] = [];
    for (const { machine, reportedAtMs, permanent } of this.#machines.values()) {
      if (permanent || nowMs - reportedAtMs <= this.#expiryMs) machines.push(machine);
    }
    this.#snapshots.push({ atMs: nowMs, machines });
  }
}
