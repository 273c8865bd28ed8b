/** A line of a collected gateway log. Fields other than the declared ones depend on the message. */
export interface LogEntry {
  /** Wall-clock time of the machine, in ms since 1970. */
  readonly time: number;
  /** Name of the machine. */
  readonly node: string;
  readonly msg: string;
  readonly [field: string]: unknown;
}
