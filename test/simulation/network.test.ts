import { expectPromisesUnder } from "./support/expect-kinds.ts";

expectPromisesUnder("faults of the network", [
  "cut-node-out",
  "cut-node-in",
  "isolate-node",
  "network-loss",
  "network-duplicates",
  "network-reorders",
]);
