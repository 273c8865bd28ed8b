/** How long the parts of a successful call took, as measured by the gateway that made it. Times in ms. */
export interface CallTiming {
  /** Name of the route, as the kind of work: calls of one route take about the same time. */
  readonly work: string;
  /** Number of chunks of a streamed answer; 1 for an answer that is not streamed. */
  readonly steps: number;
  /** Time from the first chunk of a stream to its end; for other answers, the time of the whole call. */
  readonly workMs: number;
  /** Time until the first chunk of the answer. */
  readonly firstChunkMs: number;
  /** Number of tokens in the prompt; undefined if not known. */
  readonly promptTokens: number | undefined;
  /** Whether the runner was expected to have most of the prompt cached. */
  readonly wasCached: boolean;
  /** Requests in flight at the runner when the call was sent, not counting the call itself. */
  readonly load: number;
}
