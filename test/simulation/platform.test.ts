import { expectPromisesUnder } from "./support/expect-kinds.ts";

expectPromisesUnder("faults of the platform", [
  "table-outage",
  "table-slow",
  "table-loses-answers",
  "list-outage",
  "platform-outage",
]);
