/**
 * Keeps the newest routing configuration of the operators in force; never goes back to an older one. It knows for how
 * long nothing newer can have been acknowledged, so that a key that operators take away is trusted no longer than they
 * are promised, on gateways too that the news does not reach.
 */
import { SnapshotRelay } from "../../coordination/snapshot-relay/index.ts";
import { RouteTable } from "../../scheduling/routing/route-table.ts";
import type { RoutingConfiguration } from "../../scheduling/routing/routing-configuration.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { UnreadableRowReporter } from "../store/unreadable-row-reporter.ts";
import type { StoreHealth } from "../store-health.ts";
import { TableFollower } from "./table-follower.ts";

/**
 * Within what time a configuration must be known where keys are only trusted for some time, in ms. The age of what is in
 * force stays below that, and the time of two answers; the store takes one call a second of each gateway for it.
 */
const KEYED_MAX_STALENESS_MS = 2_000;
/**
 * Keys are trusted for so much less than operators allow, in ms: a feed may say nothing of a change for a second before
 * it says that its history is gone.
 */
const TRUST_MARGIN_MS = 1_000;
/** The gateways tell each other nothing of the configuration: each reads it itself. */
const NO_RELAY_MS = 0;

/** See the module's comment. */
export class RoutingWatch {
  readonly #context: GatewayContext;
  readonly #follower: TableFollower;
  readonly #snapshot = new SnapshotRelay(NO_RELAY_MS);
  readonly #unreadable: UnreadableRowReporter;
  #table: RouteTable | undefined;
  /** Whether the store has a configuration that can't be read: it may be newer than the one in force. */
  #isSpoilt = false;
  /** Called when a newer configuration has come into force. */
  onChanged: (table: RouteTable) => void = () => undefined;

  constructor(context: GatewayContext, health: StoreHealth) {
    this.#context = context;
    const { configurationTable, configurationKey } = context.platform.records;
    const { keys, timing } = context.settings;
    const { configurationMs } = timing;
    const keyedMs = Math.min(KEYED_MAX_STALENESS_MS, configurationMs);
    this.#unreadable = new UnreadableRowReporter(context, configurationTable);
    const take = (rows: readonly { readonly key: string; readonly value: Buffer | undefined }[]) => {
      for (const { key, value } of rows) if (key === configurationKey && value) this.#take(value);
    };
    this.#follower = new TableFollower(
      context,
      health,
      configurationTable,
      {
        onTable: take,
        onChanges: take,
        onCurrent: (askedAtMs) => this.#confirm(askedAtMs),
      },
      { maxStalenessMs: keys.revokeMs === undefined ? configurationMs : keyedMs },
    );
  }

  /** The routes in force; undefined until the first configuration has been read. */
  get routes(): RouteTable | undefined {
    return this.#table;
  }

  /**
   * Whether a key that the configuration in force has may be trusted now: no newer one was acknowledged so long ago that
   * it must be in force.
   */
  get isCurrent(): boolean {
    const { clock, settings } = this.#context;
    const { revokeMs } = settings.keys;
    if (revokeMs === undefined) return true;
    return this.#snapshot.ageMs(clock.monotonicMs()) <= revokeMs - TRUST_MARGIN_MS;
  }

  /** For how long nothing newer than what is in force can have been known, in ms. */
  get behindMs(): number {
    return this.#follower.behindMs;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  #confirm(askedAtMs: number): void {
    if (!this.#table || this.#isSpoilt) return;
    this.#snapshot.read(
      String(this.#table.configuration.version),
      askedAtMs,
      this.#context.clock.monotonicMs(),
    );
  }

  #take(value: Buffer): void {
    const configuration = this.#parse(value);
    this.#isSpoilt = configuration === undefined;
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
