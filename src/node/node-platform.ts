import type { EngineClient } from "../ports/engine/engine-client.ts";
import type { MachineList } from "../ports/machine-list/machine-list.ts";
import type { ObjectStore } from "../ports/objects/object-store.ts";
import type { ServiceClient } from "../ports/service/service-client.ts";
import type { TableStore } from "../ports/table/table-store.ts";

/** The clients for all external systems that a node uses. */
export interface NodePlatform {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly machineList: MachineList;
  readonly engine: EngineClient;
  readonly service: ServiceClient;
}
