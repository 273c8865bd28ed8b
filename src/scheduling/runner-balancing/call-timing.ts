/** How long the parts of a call took that went well, as the node saw it that made it. Times in ms. */
export interface CallTiming {
  /** The kind of work: a route. Calls of one kind take about as long as each other. */
  readonly work: string;
  /** Pieces of a streamed answer; 1 for an answer that is one step. */
  readonly steps: number;
  /** From the first piece of a stream to its end; of another answer all of its time. */
  readonly workMs: number;
  /** Until the first piece of the answer. */
  readonly firstChunkMs: number;
  /** Undefined where they are not known. */
  readonly promptTokens: number | undefined;
  /** Whether the runner was believed to hold most of the prompt. */
  readonly wasCached: boolean;
  /** Requests at the runner when the call was sent there, itself left out. */
  readonly load: number;
}
