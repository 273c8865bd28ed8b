/** Keeps the newest routing configuration of the operators in force; never goes back to an older one. */
import { RouteTable } from "../../scheduling/routing/route-table.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { StoreHealth } from "../store-health.ts";
import { TableFollower } from "./table-follower.ts";

/** See the module's comment. */
export class RoutingWatch {
  readonly #context: GatewayContext;
  readonly #follower: TableFollower;
  #table: RouteTable | undefined;
  /** Called when a newer configuration has come into force. */
  onChanged: (table: RouteTable) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth) {
    this.#context = context;
    const { configurationTable, configurationKey } = context.platform.records;
    const take = (rows: readonly { readonly key: string; readonly value: Buffer | undefined }[]) => {
      for (const { key, value } of rows) if (key === configurationKey && value) this.#take(value);
    };
    this.#follower = new TableFollower(context, health, configurationTable, {
      onTable: take,
      onChanges: take,
    });
  }

  /** The routes in force; undefined until the first configuration has been read. */
  get routes(): RouteTable | undefined {
    return this.#table;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  #take(value: Buffer): void {
    const { records } = this.#context.platform;
    const configuration = records.parseConfiguration(value);
    const { version } = configuration;
    if (this.#table && this.#table.configuration.version >= version) return;
    this.#table = new RouteTable(configuration);
    this.#context.log.info({ version, routes: configuration.routes.length }, "configuration in force");
    this.onChanged(this.#table);
  }
}
