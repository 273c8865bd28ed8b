import type { RunnerLoad } from "../../messages/slot-messages.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import type { RunnerView } from "../../scheduling/runner-selection/runner-view.ts";
import type { MachineDirectory } from "./machine-directory.ts";

/** What a node knows of a runner's home and load. */
interface ReportedLoad {
  readonly home: string;
  readonly load: RunnerLoad;
}

/** The runners and services that the platform lists, and what homes say of their runners. */
export class RunnerDirectory {
  readonly #machines: MachineDirectory;
  readonly #loads = new Map<string, ReportedLoad>();

  constructor(machines: MachineDirectory) {
    this.#machines = machines;
  }

  /** Runners on the list. */
  runners(): readonly Machine[] {
    return this.#machines.machines().filter((machine) => machine.kind === "runner");
  }

  /** Machines of a service that take work. */
  serviceMachines(service: string): readonly Machine[] {
    return this.#machines
      .machines()
      .filter(
        (machine) => machine.kind === "service" && machine.pool === service && machine.state === "live",
      );
  }

  /** Takes in what a home says; news of an older home than the known one is passed over. */
  recordLoads(home: string, loads: readonly RunnerLoad[]): void {
    for (const load of loads) {
      const known = this.#loads.get(load.runner);
      if (known && known.load.fencingToken > load.fencingToken) continue;
      this.#loads.set(load.runner, { home, load });
    }
  }

  /** A home answered that it is none any more, or did not answer. */
  forgetHome(runner: string, home: string): void {
    if (this.#loads.get(runner)?.home === home) this.#loads.delete(runner);
  }

  /** Every runner as the scheduling sees it. */
  views(): readonly RunnerView[] {
    return this.runners().map((machine) => this.#viewOf(machine));
  }

  #viewOf(machine: Machine): RunnerView {
    const known = this.#loads.get(machine.name);
    return {
      runner: machine.name,
      models: machine.models,
      zone: machine.zone,
      address: machine.address,
      home: known?.home,
      fencingToken: known?.load.fencingToken ?? 0,
      leaving: machine.state === "leaving" || (known?.load.leaving ?? false),
      slots: known?.load.slots ?? machine.slots,
      expectedWaitMs: known?.load.expectedWaitMs ?? 0,
    };
  }
}
