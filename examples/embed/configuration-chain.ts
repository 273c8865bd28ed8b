/** Two copies of a chain that hear of changes out of order, and end alike. */
import { ConfigurationChain } from "../../src/coordination/configuration-chain/index.ts";

/** Runs the example; returns what is in force in both copies. */
export function runConfigurationChainExample(): (string | undefined)[] {
  const source = new ConfigurationChain();
  const copy = new ConfigurationChain();
  source.extend([
    { version: 1, key: "limit", content: "10" },
    { version: 2, key: "limit", content: "20" },
  ]);
  copy.extend(source.entriesAfter(1, 10));
  copy.extend(source.entriesAfter(copy.version, 10));
  return [source.get("limit")?.content, copy.get("limit")?.content];
}
