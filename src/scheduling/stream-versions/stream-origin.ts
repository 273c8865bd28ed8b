import type { RunnerName } from "../ids/runner-name.ts";
import type { SoftwareVersion } from "../ids/software-version.ts";

/** Where a stream began. Its later events must come from the same version of the same pool. */
export interface StreamOrigin {
  readonly pool: string;
  readonly version: SoftwareVersion;
  /** The runner that made the first event. */
  readonly runner: RunnerName;
}
