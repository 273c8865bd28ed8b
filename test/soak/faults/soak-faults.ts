/** The kinds of faults that a soak can inject. */
import type { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { SoakCluster } from "../soak-cluster.ts";
import { BrokenOffAnswers } from "./broken-off-answers.ts";
import { EndingRequests } from "./ending-requests.ts";
import { EndlessAnswers } from "./endless-answers.ts";
import { FaultyLink } from "./faulty-link.ts";
import { FaultyRunner } from "./faulty-runner.ts";
import { FaultyStore } from "./faulty-store.ts";
import { FaultyStoreThenKilled } from "./faulty-store-then-killed.ts";
import { FrozenGateway } from "./frozen-gateway.ts";
import { KilledGateways } from "./killed-gateways.ts";
import type { SoakFault } from "./soak-fault.ts";
import { StoppedAndKilled } from "./stopped-and-killed.ts";
import { StoppedGateway } from "./stopped-gateway.ts";

type FaultClass = new (cluster: SoakCluster, random: SeededRandomSource) => SoakFault;

/** Classes of faults by the names that `--faults` takes. */
export const SOAK_FAULTS: Readonly<Record<string, FaultClass>> = {
  killed: KilledGateways,
  frozen: FrozenGateway,
  stopped: StoppedGateway,
  store: FaultyStore,
  link: FaultyLink,
  runner: FaultyRunner,
  answers: BrokenOffAnswers,
  ending: EndingRequests,
  endless: EndlessAnswers,
  storeThenKilled: FaultyStoreThenKilled,
  stoppedAndKilled: StoppedAndKilled,
};
