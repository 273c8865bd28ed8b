/** Keeps each stream at the software version that began it. */
export { type OriginLookup, OriginTable } from "./origin-table.ts";
export { RestartDoubts } from "./restart-doubts.ts";
export { type StreamKey, streamKeyOf } from "./stream-key.ts";
export type { StreamOrigin } from "./stream-origin.ts";
export { type ListedVersion, VersionHistory } from "./version-history.ts";
