/** Types that describe a mutation: a deliberate fault in a copy of the sources. */

/** Replaces the first occurrence of a text in a source file. */
export interface Edit {
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

/** A deliberate fault, the guarantee that it breaks and the script that should detect it. */
export interface Mutation {
  readonly guarantee: string;
  readonly name: string;
  readonly edits: readonly Edit[];
  /** The simulation, the soak or the test file that should detect the fault. */
  readonly script:
    | "bench/simulate.ts"
    | "bench/simulate-gateways.ts"
    | "test/soak/main.ts"
    | `test/${"contract" | "simulation" | "process"}/${string}.test.ts`;
  /** Arguments of the simulation or soak under which the fault should show; empty for tests. */
  readonly args: readonly string[];
}
