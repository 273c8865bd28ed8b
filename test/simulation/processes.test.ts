import { expectPromisesUnder } from "./support/expect-kinds.ts";

expectPromisesUnder("faults of processes", ["kill-node", "freeze-node", "drain-node", "kill-ingress"]);
