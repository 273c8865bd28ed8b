import type { Headroom } from "./headroom.ts";

/** A gateway that callers may be told of. */
export interface GatewayCandidate {
  /** Where callers reach it. */
  readonly address: string;
  readonly zone: string;
  /** Undefined for builds that tell none. */
  readonly headroom: Headroom | undefined;
  /** For how long it has been heard of, in ms. */
  readonly knownForMs: number;
  /** A number in [0, 1): a gateway that should be named in some of the answers is named where this lies below that part. */
  readonly draw: number;
}
