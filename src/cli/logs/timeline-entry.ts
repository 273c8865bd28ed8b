/** One step of a story that logs tell. */
export interface TimelineEntry {
  /** Wall clock of the machine, in ms since 1970. */
  readonly time: number;
  readonly node: string;
  readonly text: string;
}
