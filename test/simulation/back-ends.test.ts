import { expectPromisesUnder } from "./support/expect-kinds.ts";

expectPromisesUnder("faults of back ends", [
  "kill-engine",
  "freeze-engine",
  "engine-leaves",
  "service-hangs",
]);
