import type { Logger } from "pino";
import type { CallProtocol, EntryProtocol } from "../ports/call-protocol.ts";
import type { PlatformRecords } from "../ports/platform-records.ts";
import type { RowStore } from "../ports/store/row-store.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RandomSource } from "../runtime/random-source.ts";
import type { TextHash } from "../runtime/text-hash.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import type { GatewayMetrics } from "./telemetry/gateway-metrics.ts";

/** Adapters to the platform that a gateway runs on: its store, headers, directory and records. */
export interface GatewayPlatform {
  readonly store: RowStore;
  readonly calls: CallProtocol;
  readonly entry: EntryProtocol;
  readonly records: PlatformRecords;
}

/** Settings and dependencies that all components of a gateway share. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  /** Identifies this run of the process; each start gets a new one. */
  readonly instance: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: TextHash;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly platform: GatewayPlatform;
}
