import type { RunnerLoad } from "../../messages/slot-messages.ts";
import type { Machine } from "../../ports/machine-list/machine-list.ts";
import type { RunnerView } from "../../scheduling/runner-selection/runner-view.ts";
import type { MachineDirectory } from "./machine-directory.ts";

/** The load that a runner's home node reported last, with the address of that node. */
interface ReportedLoad {
  readonly home: string;
  readonly load: RunnerLoad;
}

/**
 * The runners and services on the platform's machine list, and the load of runners as their home nodes report it. The
 * home of a runner is the node that grants its slots.
 */
export class RunnerDirectory {
  readonly #machines: MachineDirectory;
  readonly #loads = new Map<string, ReportedLoad>();

  constructor(machines: MachineDirectory) {
    this.#machines = machines;
  }

  /** Returns the runners on the list. */
  runners(): readonly Machine[] {
    return this.#machines.machines().filter((machine) => machine.kind === "runner");
  }

  /** Returns the machines of a service that accept work. */
  serviceMachines(service: string): readonly Machine[] {
    return this.#machines
      .machines()
      .filter(
        (machine) => machine.kind === "service" && machine.pool === service && machine.state === "live",
      );
  }

  /** Records the loads that a home node reported. Ignores loads with a lower fencing token than the known one. */
  recordLoads(home: string, loads: readonly RunnerLoad[]): void {
    for (const load of loads) {
      const known = this.#loads.get(load.runner);
      if (known && known.load.fencingToken > load.fencingToken) continue;
      this.#loads.set(load.runner, { home, load });
    }
  }

  /** Removes a home that did not respond or responded that it is no longer the runner's home. */
  forgetHome(runner: string, home: string): void {
    if (this.#loads.get(runner)?.home === home) this.#loads.delete(runner);
  }

  /** Returns all runners in the form that the scheduler uses. */
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
