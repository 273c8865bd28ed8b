export { type SnapshotNews, SnapshotRelay } from "./snapshot-relay.ts";
