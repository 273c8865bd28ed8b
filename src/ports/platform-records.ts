import type { RoutingConfiguration } from "../scheduling/routing/routing-configuration.ts";
import type { RunnerEntry } from "../scheduling/runner-balancing/runner-entry.ts";

/** Where the platform keeps what is not the system's own, and how it spells it. */
export interface PlatformRecords {
  /** Table of the operators' configuration. */
  readonly configurationTable: string;
  /** Key of the newest configuration in it. */
  readonly configurationKey: string;
  /** Table of the runners, one row each under its name. */
  readonly runnerTable: string;
  /** Throws when the row is not a configuration. */
  parseConfiguration(value: Buffer): RoutingConfiguration;
  /** Undefined when the row is no entry of a runner: anybody may have written it. */
  parseRunner(name: string, value: Buffer): RunnerEntry | undefined;
}
