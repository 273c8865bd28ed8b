import type { IncomingHttpHeaders } from "node:http";

/** What of a request is known before its body has been read. */
export interface RequestHead {
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Length of the body, as far as the head says it. */
  readonly bodyBytes: number;
  /** Of the monotonic clock, in ms. */
  readonly arrivedAtMs: number;
}
