/** What a shard's leader knows about a runner; may be some seconds old, except right after the runner's home answered. */
export interface RunnerView {
  readonly runner: string;
  /** Models that the runner serves. */
  readonly models: readonly string[];
  readonly zone: string;
  /** IP address and port of the engine's interface. */
  readonly address: string;
  /** Address of the runner's home, the node that grants its slots; undefined while there is none. */
  readonly home: string | undefined;
  /** Fencing token of the home; a newer home has a larger one. */
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
