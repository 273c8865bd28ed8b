/** The weights of one version of a model in the platform's store. */
export interface WeightSet {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

/** The platform's store of model weights. Loads are rate-limited by the store. */
export interface WeightStore {
  /** Returns the weights that can be loaded. */
  list(): Promise<readonly WeightSet[]>;
}
