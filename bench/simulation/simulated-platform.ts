import { platformError } from "../../src/errors/tulipwheel-error.ts";
import type { Machine, MachineList } from "../../src/ports/machine-list/machine-list.ts";
import type { ObjectStore } from "../../src/ports/objects/object-store.ts";
import type { Row, TableStore, Transaction, TransactionResult } from "../../src/ports/table/table-store.ts";
import type { RandomSource } from "../../src/runtime/random-source.ts";
import { MachineListModel } from "../../standins/machine-list/machine-list-model.ts";
import { ObjectModel } from "../../standins/objects/object-model.ts";
import { TableModel } from "../../standins/table/table-model.ts";
import type { SimulatedProcess, VirtualTime } from "./virtual-time.ts";

/** The current faults of a platform service. */
export interface PlatformConditions {
  outage: boolean;
  /** Additional latency in each direction, in ms. */
  slowMs: number;
  /** Fraction of the requests whose response is lost after the request was executed. */
  lostAnswers: number;
}

const MIN_LATENCY_MS = 2;
const JITTER_MS = 2;
const TIMEOUT_MS = 3_000;

/** A platform service that simulated processes reach with latency, outages and lost responses. */
class SimulatedService {
  readonly conditions: PlatformConditions = { outage: false, slowMs: 0, lostAnswers: 0 };
  readonly #time: VirtualTime;
  readonly #random: RandomSource;
  readonly #name: string;
  /** Number of requests executed since the start. */
  requests = 0;

  constructor(name: string, time: VirtualTime, random: RandomSource) {
    this.#name = name;
    this.#time = time;
    this.#random = random;
  }

  /** Executes a request of a process. Rejects if no response arrives before the timeout. */
  exchange<Value>(process: SimulatedProcess, work: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const giveUp = () => process.run(() => reject(platformError(`The ${this.#name} does not answer.`)));
      const timer = this.#time.after(TIMEOUT_MS, giveUp);
      this.#time.after(this.#tripMs(), () => {
        if (this.conditions.outage) return;
        this.requests += 1;
        const value = work();
        if (this.#random.unit() < this.conditions.lostAnswers) return;
        this.#time.after(this.#tripMs(), () => {
          this.#time.cancel(timer);
          process.run(() => resolve(value));
        });
      });
    });
  }

  #tripMs(): number {
    return MIN_LATENCY_MS + this.#random.unit() * JITTER_MS + this.conditions.slowMs;
  }
}

/** The table, object store and machine list of a simulation. */
export class SimulatedPlatform {
  readonly table: SimulatedService;
  readonly objects: SimulatedService;
  readonly machineList: SimulatedService;
  readonly tableModel = new TableModel();
  readonly objectModel = new ObjectModel();
  readonly listModel: MachineListModel;
  readonly #time: VirtualTime;

  constructor(time: VirtualTime, random: RandomSource) {
    this.#time = time;
    this.table = new SimulatedService("table", time, random);
    this.objects = new SimulatedService("object store", time, random);
    this.machineList = new SimulatedService("machine list", time, random);
    this.listModel = new MachineListModel();
  }

  /** A table client for one process. */
  tableFor(process: SimulatedProcess): TableStore {
    const { table, tableModel } = this;
    return {
      get: (key: string): Promise<Row> => table.exchange(process, () => tableModel.get(key)),
      list: (prefix: string, after: string, limit: number): Promise<readonly Row[]> =>
        table.exchange(process, () => tableModel.list(prefix, after, limit)),
      transact: (transaction: Transaction): Promise<TransactionResult> =>
        table.exchange(process, () => tableModel.transact(transaction)),
    };
  }

  /** An object store client for one process. */
  objectsFor(process: SimulatedProcess): ObjectStore {
    const { objects, objectModel } = this;
    return {
      put: async (key, bytes) => {
        const written = await objects.exchange(process, () => objectModel.put(key, bytes));
        if (!written) throw platformError(`${key} exists with another content.`);
      },
      get: (key) => objects.exchange(process, () => objectModel.get(key)),
      remove: (key) => objects.exchange(process, () => objectModel.remove(key)),
      list: (prefix) => objects.exchange(process, () => objectModel.list(prefix)),
    };
  }

  /** A machine list client for one process. */
  machineListFor(process: SimulatedProcess): MachineList {
    const { machineList, listModel } = this;
    return {
      read: () => machineList.exchange(process, () => listModel.read(this.#time.nowMs)),
      report: (machine: Machine) =>
        machineList.exchange(process, () => listModel.report(machine, this.#time.nowMs)),
    };
  }
}
