/** One event in the timeline of a request or a program. */
export interface TimelineEntry {
  /** Wall-clock time of the machine, in ms since 1970. */
  readonly time: number;
  readonly node: string;
  readonly text: string;
}
