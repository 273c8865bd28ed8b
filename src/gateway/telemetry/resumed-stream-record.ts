/** The stream that a caller takes up with a call. */
export interface ResumedStreamRecord {
  /** The request that brought the stream's first event; undefined if the caller does not name it. */
  readonly request: string | undefined;
  /** Identifier of the last event that the caller has received. */
  readonly lastEventId: number;
  /** Software version at which the stream began; undefined if it is not known. */
  readonly version?: string;
  /** Whether this gateway or a peer remembered the stream, or the list of runners shows a single version. */
  readonly knownBy?: "here" | "peer" | "list";
}
