/** What a deliberate break is. */

/** One replaced text. */
export interface Edit {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

/** A deliberate break. */
export interface Mutation {
  readonly guarantee: string;
  readonly name: string;
  readonly edits: readonly Edit[];
  /** The simulation, the soak or the file of tests that should notice. */
  readonly script:
    | "bench/simulate.ts"
    | "bench/simulate-gateways.ts"
    | "test/soak/main.ts"
    | `test/contract/${string}.test.ts`;
  /** Arguments of the simulation under which the break should show; none for tests. */
  readonly args: readonly string[];
}
