/** Sizes and speeds of an emulated engine. */
export interface EngineParameters {
  /** Maximum number of sequences in a batch. */
  readonly slots: number;
  /** Capacity of the key-value cache, in tokens. */
  readonly kvTokens: number;
  /** Base duration of a step, in ms. */
  readonly stepMs: number;
  /** Time that each sequence of the batch adds to a step, in ms. */
  readonly stepMsPerSequence: number;
  /** Maximum number of prompt tokens that are prefilled in a step. */
  readonly prefillTokensPerStep: number;
  /** Time that each prefilled token adds to a step, in ms. */
  readonly prefillMsPerToken: number;
}

/** An engine that prefills 10,000 prompt tokens per second; a step of a full batch takes 12 ms. */
export const SLOW_ENGINE: EngineParameters = {
  slots: 16,
  kvTokens: 60_000,
  stepMs: 10,
  stepMsPerSequence: 0.125,
  prefillTokensPerStep: 512,
  prefillMsPerToken: 0.1,
};
