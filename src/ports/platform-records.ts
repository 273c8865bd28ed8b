import type { RoutingConfiguration } from "../scheduling/routing/routing-configuration.ts";
import type { RunnerEntry } from "../scheduling/runner-balancing/runner-entry.ts";

/** The tables in which the platform stores configuration and runners, and the parsers of their rows. */
export interface PlatformRecords {
  /** Table that holds the operators' configuration. */
  readonly configurationTable: string;
  /** Key of the newest configuration in that table. */
  readonly configurationKey: string;
  /** Table of the runners, with one row per runner, keyed by its name. */
  readonly runnerTable: string;
  /** Parses a row of the configuration table. Throws when the row is not a valid configuration. */
  parseConfiguration(value: Buffer): RoutingConfiguration;
  /**
   * Parses a row of the runner table. Returns undefined when it is not a valid runner entry, since anyone may write
   * rows.
   */
  parseRunner(name: string, value: Buffer): RunnerEntry | undefined;
}
