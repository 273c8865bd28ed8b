import type { EngineClient } from "../platform/engine/engine-client.ts";
import type { MachineList } from "../platform/machine-list/machine-list.ts";
import type { ObjectStore } from "../platform/objects/object-store.ts";
import type { ServiceClient } from "../platform/service/service-client.ts";
import type { TableStore } from "../platform/table/table-store.ts";

/** Everything outside that a node talks to. */
export interface NodePlatform {
  readonly table: TableStore;
  readonly objects: ObjectStore;
  readonly machineList: MachineList;
  readonly engine: EngineClient;
  readonly service: ServiceClient;
}
