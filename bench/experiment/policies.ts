/** The compared policies: those of this project, and baselines. Each sees only what a scheduler can know. */
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../src/scheduling/ids/software-version.ts";
import type { SlotRequest } from "../../src/scheduling/queue/slot-request.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import { chooseRunner } from "../../src/scheduling/runner-selection/choose-runner.ts";
import type { CachedPrefix } from "../../src/scheduling/runner-selection/runner-view.ts";
import type { EmulatedRunner } from "./emulated-runner.ts";

/** Input of a placement decision. */
export interface PlacementRequest {
  readonly promptTokens: number;
  /** The runner of the program's last turn, and the number of tokens cached there. */
  readonly cached: readonly CachedPrefix[];
  readonly runners: readonly EmulatedRunner[];
  readonly random: SeededRandomSource;
  /** Number of calls so far. */
  readonly callIndex: number;
}

/** How calls are placed and ordered. */
export interface Policy {
  readonly name: string;
  /** Whether a program may start now; if undefined, every program may. */
  admits?(runners: readonly EmulatedRunner[]): boolean;
  /** Chooses a runner. */
  place(question: PlacementRequest): EmulatedRunner;
  /** Returns the request as the queue sees it; baselines serve in arrival order. */
  describe(request: SlotRequest): SlotRequest;
}

/** Without class, slack or attained service, a queue is first come, first served. */
function firstComeFirstServed(request: SlotRequest): SlotRequest {
  return { ...request, priorityClass: "standard", slackMs: undefined, attainedServiceMs: 0, weight: 1 };
}

const RANDOM_CANDIDATES = 2;
/** Fraction of all slots in use from which no program may start. */
const ADMISSION_OCCUPANCY = 1;

/** All policies by name. */
export const POLICIES: readonly Policy[] = [
  {
    name: "round-robin",
    place: ({ runners, callIndex }) => runners[callIndex % runners.length],
    describe: firstComeFirstServed,
  },
  {
    name: "least-outstanding",
    place: ({ runners }) => leastOutstanding(runners),
    describe: firstComeFirstServed,
  },
  {
    name: "prefix-affinity",
    place: ({ runners, cached }) => findCacheHolder(runners, cached) ?? leastOutstanding(runners),
    describe: firstComeFirstServed,
  },
  {
    name: "tulipwheel",
    place: ({ runners, cached, promptTokens, random }) => {
      const alternatives = chooseRunner({
        model: "m",
        promptTokens,
        zone: "z",
        runners: runners.map((runner) => runner.view()),
        cached,
        excluded: [],
        samples: Array.from({ length: RANDOM_CANDIDATES }, () => random.unit()),
      });
      return runners.find(({ name }) => name === alternatives[0].runner) ?? runners[0];
    },
    describe: (request) => request,
  },
  { name: "gateway", place: placeByRunnerBalancer, describe: firstComeFirstServed },
  {
    name: "gateway-admission",
    admits: (runners) => occupancy(runners) < ADMISSION_OCCUPANCY,
    place: placeByRunnerBalancer,
    describe: firstComeFirstServed,
  },
];

/** Chooses as gateways do, with the load of all runners known. */
function placeByRunnerBalancer({ runners, cached, random }: PlacementRequest): EmulatedRunner {
  const balancer = new RunnerBalancer();
  const version = "v1" as SoftwareVersion;
  const entry = {
    startedAtMs: undefined,
    pool: "p",
    address: "",
    zone: "z",
    version,
    state: "ready",
  } as const;
  for (const { name, slots } of runners)
    balancer.upsert({ ...entry, id: name as RunnerId, name: name as RunnerName, slots });
  const inFlight = runners.map(({ name, outstanding }) => [name as RunnerId, outstanding] as const);
  balancer.recordReport("all", { inFlight, failing: [] }, 0);
  const preferred = cached[0]?.runner as RunnerId | undefined;
  const choice = { pool: "p", zone: "z", excluded: new Set<RunnerId>(), preferred, nowMs: 0 };
  const chosen = balancer.choose({ ...choice, sample: random.unit() });
  return runners.find(({ name }) => name === chosen?.id) ?? (runners[0] as EmulatedRunner);
}

/** Queued and running calls as a fraction of all slots. */
function occupancy(runners: readonly EmulatedRunner[]): number {
  const outstanding = runners.reduce((sum, runner) => sum + runner.outstanding, 0);
  return outstanding / runners.reduce((sum, { slots }) => sum + slots, 0);
}

function leastOutstanding(runners: readonly EmulatedRunner[]): EmulatedRunner {
  return runners.reduce((best, runner) => (runner.outstanding < best.outstanding ? runner : best));
}

function findCacheHolder(
  runners: readonly EmulatedRunner[],
  cached: readonly CachedPrefix[],
): EmulatedRunner | undefined {
  return runners.find(({ name }) => cached.some((prefix) => prefix.runner === name));
}
