export { type SnapshotAnnouncement, SnapshotRelay } from "./snapshot-relay.ts";
