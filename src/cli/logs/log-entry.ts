/** A line of a gateway's log, as collected. Fields beyond the common ones depend on the message. */
export interface LogEntry {
  /** Wall clock of the machine, in ms since 1970. */
  readonly time: number;
  /** Name of the machine. */
  readonly node: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}
