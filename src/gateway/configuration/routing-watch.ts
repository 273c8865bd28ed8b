/**
 * Applies the operators' newest routing configuration, and never goes back to an older one. It also tracks how outdated the
 * configuration in force may be, so that a revoked key is not trusted for longer than operators are promised, even on
 * gateways that the new configuration does not reach.
 */
import { SnapshotRelay } from "../../coordination/snapshot-relay/index.ts";
import { RouteTable } from "../../scheduling/routing/route-table.ts";
import type { RoutingConfiguration } from "../../scheduling/routing/routing-configuration.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { UnreadableRowReporter } from "../store/unreadable-row-reporter.ts";
import type { StoreHealth } from "../store-health.ts";
import { TableFollower } from "./table-follower.ts";

/**
 * Maximum staleness of the configuration when keys are trusted for a limited time only, in ms. The age of the configuration
 * in force stays below this plus the time of two answers. It costs the store one call a second from each gateway.
 */
const MAX_STALENESS_WITH_REVOCATION_MS = 2_000;
/**
 * Keys are trusted for this much less than operators allow, in ms: a change feed may fail to report a change for up to a
 * second before it reports that its history is gone.
 */
const TRUST_MARGIN_MS = 1_000;
/** Gateways do not relay the configuration to each other: each reads it from the store. */
const NO_RELAY_MS = 0;

export class RoutingWatch {
  readonly #context: GatewayContext;
  readonly #follower: TableFollower;
  readonly #snapshot = new SnapshotRelay(NO_RELAY_MS);
  readonly #unreadable: UnreadableRowReporter;
  #table: RouteTable | undefined;
  /** Whether the store holds a configuration that can't be parsed; it may be newer than the one in force. */
  #hasUnreadableRow = false;
  /** Called when a newer configuration has been applied. */
  onChanged: (table: RouteTable) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth) {
    this.#context = context;
    const { configurationTable, configurationKey } = context.platform.records;
    const { keys, timing } = context.settings;
    const { configurationMs } = timing;
    const stalenessWithRevocationMs = Math.min(MAX_STALENESS_WITH_REVOCATION_MS, configurationMs);
    this.#unreadable = new UnreadableRowReporter(context, configurationTable);
    const applyRows = (rows: readonly { readonly key: string; readonly value: Buffer | undefined }[]) => {
      for (const { key, value } of rows) if (key === configurationKey && value) this.#applyRow(value);
    };
    this.#follower = new TableFollower(
      context,
      health,
      configurationTable,
      {
        onTable: applyRows,
        onChanges: applyRows,
        onCurrent: (askedAtMs) => this.#confirmCurrent(askedAtMs),
      },
      { maxStalenessMs: keys.revokeMs === undefined ? configurationMs : stalenessWithRevocationMs },
    );
  }

  /** The routes in force; undefined until the first configuration has been read. */
  get routes(): RouteTable | undefined {
    return this.#table;
  }

  /**
   * Whether the keys of the configuration in force may be trusted now. They may not once a newer configuration may have been
   * acknowledged so long ago that it would have to be in force.
   */
  get canTrustKeys(): boolean {
    const { clock, settings } = this.#context;
    const { revokeMs } = settings.keys;
    if (revokeMs === undefined) return true;
    return this.#snapshot.ageMs(clock.monotonicMs()) <= revokeMs - TRUST_MARGIN_MS;
  }

  /** Upper bound on how outdated the configuration in force is, in ms. */
  get behindMs(): number {
    return this.#follower.behindMs;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  #confirmCurrent(askedAtMs: number): void {
    if (!this.#table || this.#hasUnreadableRow) return;
    this.#snapshot.recordRead(
      String(this.#table.configuration.version),
      askedAtMs,
      this.#context.clock.monotonicMs(),
    );
  }

  #applyRow(value: Buffer): void {
    const configuration = this.#parse(value);
    this.#hasUnreadableRow = configuration === undefined;
    if (!configuration) return;
    const { version } = configuration;
    if (this.#table && this.#table.configuration.version >= version) return;
    this.#table = new RouteTable(configuration);
    const behindMs = Math.round(this.behindMs);
    const routes = configuration.routes.length;
    this.#context.log.info({ version, routes, behindMs }, "configuration in force");
    this.onChanged(this.#table);
  }

  #parse(value: Buffer): RoutingConfiguration | undefined {
    const { records } = this.#context.platform;
    try {
      return records.parseConfiguration(value);
    } catch {
      this.#unreadable.report(records.configurationKey);
      return undefined;
    }
  }
}
