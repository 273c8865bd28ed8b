import type { RunnerLoad } from "../../messages/slot-messages.ts";
import type { Machine, MachineList } from "../../platform/machine-list/machine-list.ts";
import { repeat } from "../../runtime/clock.ts";
import type { RunnerView } from "../../scheduling/runner-selection/runner-view.ts";
import type { NodeContext } from "../node-context.ts";

/** What a node knows of a runner's home and load. */
interface KnownLoad {
  readonly home: string;
  readonly load: RunnerLoad;
}

/** The machines that the platform lists, and what homes say of their runners. */
export class RunnerDirectory {
  readonly #context: NodeContext;
  readonly #machineList: MachineList;
  readonly #loads = new Map<string, KnownLoad>();
  #machines: readonly Machine[] = [];
  #nodes: readonly Machine[] = [];
  #nodesVersion = 0;
  #readAtMs = Number.NEGATIVE_INFINITY;
  #leaving = false;
  #stopPolling: () => void = () => undefined;
  /** Called after each successful read of the list. */
  onRead: () => void = () => undefined;

  constructor(context: NodeContext, machineList: MachineList) {
    this.#context = context;
    this.#machineList = machineList;
  }

  /** Starts to follow the list. */
  start(): void {
    void this.#poll();
    this.#stopPolling = repeat(this.#context.clock, this.#context.settings.timing.machineListMs, () => {
      void this.#poll();
    });
  }

  /** Stops following the list. */
  stop(): void {
    this.#stopPolling();
  }

  /** Tells the platform that this node is leaving. */
  async announceLeaving(): Promise<void> {
    this.#leaving = true;
    await this.#poll();
  }

  /** Age of the list in ms. */
  ageMs(): number {
    return this.#context.clock.monotonicMs() - this.#readAtMs;
  }

  /** Nodes on the list. */
  nodes(): readonly Machine[] {
    return this.#nodes;
  }

  /** Changes whenever {@link nodes} does, so that what is worked out from them need not be worked out again. */
  get nodesVersion(): number {
    return this.#nodesVersion;
  }

  /** Runners on the list. */
  runners(): readonly Machine[] {
    return this.#machines.filter((machine) => machine.kind === "runner");
  }

  /** Machines of a service that take work. */
  serviceMachines(service: string): readonly Machine[] {
    return this.#machines.filter(
      (machine) => machine.kind === "service" && machine.pool === service && machine.state === "live",
    );
  }

  /** Takes in what a home says; news of an older home than the known one is passed over. */
  learn(home: string, loads: readonly RunnerLoad[]): void {
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

  #take(machines: readonly Machine[]): void {
    this.#machines = machines;
    const nodes = machines.filter((machine) => machine.kind === "node");
    if (signatureOf(nodes) === signatureOf(this.#nodes)) return;
    this.#nodes = nodes;
    this.#nodesVersion += 1;
  }

  async #poll(): Promise<void> {
    const { self, clock, settings } = this.#context;
    const startMs = clock.monotonicMs();
    try {
      await this.#machineList.report({
        name: settings.name,
        kind: "node",
        pool: "",
        zone: settings.zone,
        address: self.address,
        incarnation: self.instance,
        state: this.#leaving ? "leaving" : "live",
        models: [],
        slots: 0,
        kvTokens: 0,
      });
      this.#take(await this.#machineList.read());
      this.#readAtMs = startMs;
      this.onRead();
    } catch {
      // The platform does not answer: the last list stands, and its age is watched by those who depend on it.
    }
  }
}

function signatureOf(nodes: readonly Machine[]): string {
  return nodes.map(({ incarnation, address, state }) => `${incarnation}|${address}|${state}`).join(" ");
}
