/** Sizes and speeds of an emulated engine. */
export interface EngineParameters {
  /** Sequences in a batch. */
  readonly slots: number;
  /** Tokens of key-value memory. */
  readonly kvTokens: number;
  /** Time of a step, in ms. */
  readonly stepMs: number;
  /** What each sequence of the batch adds to it, in ms. */
  readonly stepMsPerSequence: number;
  /** Prompt tokens worked on in a step. */
  readonly prefillTokensPerStep: number;
  /** What each of them adds to the step, in ms. */
  readonly prefillMsPerToken: number;
}

/** An engine that reads 10,000 prompt tokens a second; 12 ms for a step of a full batch. */
export const SLOW_ENGINE: EngineParameters = {
  slots: 16,
  kvTokens: 60_000,
  stepMs: 10,
  stepMsPerSequence: 0.125,
  prefillTokensPerStep: 512,
  prefillMsPerToken: 0.1,
};
