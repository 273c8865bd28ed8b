import type { Headroom } from "./headroom.ts";

/** A gateway whose address may be returned to callers. */
export interface GatewayCandidate {
  /** Address for callers. */
  readonly address: string;
  readonly zone: string;
  /** Undefined for builds that do not report it. */
  readonly headroom: Headroom | undefined;
  /** How long the gateway has been known, in ms. */
  readonly knownForMs: number;
  /**
   * Random number in [0, 1). A gateway that should be in a fraction of the answers is selected if this number is below that
   * fraction.
   */
  readonly draw: number;
}
