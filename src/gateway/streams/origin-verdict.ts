import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import type { StreamOrigin } from "../../scheduling/stream-versions/index.ts";

/** What is known of the beginning of a stream that a caller takes up. */
export type OriginVerdict =
  /** A gateway remembers the stream. */
  | { readonly type: "origin"; readonly origin: StreamOrigin; readonly knownBy: "here" | "peer" }
  /** Nobody remembers it, but the runners of its pool have had only this version while it may have begun. */
  | { readonly type: "version"; readonly version: SoftwareVersion }
  | { readonly type: "unknown"; readonly reason: string };
