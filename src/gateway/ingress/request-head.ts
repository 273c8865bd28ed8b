import type { IncomingHttpHeaders } from "node:http";

/** What is known about a request before its body has been read. */
export interface RequestHead {
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Length of the body according to the head; 0 if the head does not state it. */
  readonly bodyBytes: number;
  /** Arrival time by the monotonic clock, in ms. */
  readonly arrivedAtMs: number;
}
