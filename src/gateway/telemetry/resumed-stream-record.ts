/** The stream that a caller takes up with a call. */
export interface ResumedStreamRecord {
  /** The request that brought the stream's first event; undefined if the caller does not name it. */
  readonly request: string | undefined;
  /** Identifier of the last event that the caller has received. */
  readonly lastEventId: number;
}
