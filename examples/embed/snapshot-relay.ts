/** One member reads a list from its source; another member adopts it and knows its age. */
import { SnapshotRelay } from "../../src/coordination/snapshot-relay/index.ts";

/**
 * Runs the example; returns whether the second member requested the list, and the age of its list at the end, in ms.
 */
export function runSnapshotRelayExample(): [boolean, number] {
  const reader = new SnapshotRelay(500);
  const other = new SnapshotRelay(500);
  const news = reader.recordRead("digest-1", 1_000, 1_020);
  const asked = other.shouldRequest(news, 1_050);
  const answer = { digest: reader.digest, ageMs: reader.ageMs(1_060) };
  if (asked) other.adopt(answer, 1_050, 1_070);
  return [asked, other.ageMs(1_200)];
}
