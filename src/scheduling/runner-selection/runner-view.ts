/** What a shard's leader knows of a runner; may be some seconds old, except right after the home answered. */
export interface RunnerView {
  readonly runner: string;
  /** Models that the runner serves. */
  readonly models: readonly string[];
  readonly zone: string;
  /** IP address and port of the engine's interface. */
  readonly address: string;
  /** Address of the node that is the runner's home; undefined while there is none. */
  readonly home: string | undefined;
  /** The home's fencing token: a larger one is a newer home. */
  readonly fencingToken: number;
  readonly leaving: boolean;
  readonly slots: number;
  readonly expectedWaitMs: number;
}

/** How much of a program's prompt a runner is believed to have cached. */
export interface CachedPrefix {
  readonly runner: string;
  readonly tokens: number;
}
