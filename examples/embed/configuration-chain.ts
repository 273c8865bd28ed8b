/** Two copies of a configuration chain receive the changes in different order and end up in the same state. */
import { ConfigurationChain } from "../../src/coordination/configuration-chain/index.ts";

/** Runs the example; returns the current value of the limit in both copies. */
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
