import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import type { StreamKey, StreamOrigin } from "../../scheduling/stream-versions/index.ts";

/** A stream that a caller takes up after its connection broke. */
export interface ResumedStream {
  /** Undefined if the caller does not name the request that began the stream. */
  readonly key: StreamKey | undefined;
  /** The version at which the stream began. */
  readonly version: SoftwareVersion;
  /** Undefined if nobody remembers the stream, and its version follows from the list of runners. */
  readonly origin: StreamOrigin | undefined;
  /** How the version is known. */
  readonly knownBy: "here" | "peer" | "list";
}
