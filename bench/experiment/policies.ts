/** Policies that are compared: ours, and baselines. Each sees only what a scheduler can know. */
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { SlotRequest } from "../../src/scheduling/queue/slot-request.ts";
import { chooseRunner } from "../../src/scheduling/runner-selection/choose-runner.ts";
import type { CachedPrefix } from "../../src/scheduling/runner-selection/runner-view.ts";
import type { EmulatedRunner } from "./emulated-runner.ts";

/** What a policy is asked. */
export interface PlacementQuestion {
  readonly promptTokens: number;
  /** Where the program's last turn ran, and how much it left there. */
  readonly cached: readonly CachedPrefix[];
  readonly runners: readonly EmulatedRunner[];
  readonly random: SeededRandomSource;
  /** Counts the calls so far. */
  readonly callIndex: number;
}

/** How calls are placed and ordered. */
export interface Policy {
  readonly name: string;
  /** Chooses a runner. */
  place(question: PlacementQuestion): EmulatedRunner;
  /** What the queue may know of a call; baselines serve in the order of arrival. */
  describe(request: SlotRequest): SlotRequest;
}

/** Without class, slack or attained service, a queue is first come, first served. */
function firstComeFirstServed(request: SlotRequest): SlotRequest {
  return { ...request, priorityClass: "standard", slackMs: undefined, attainedServiceMs: 0, weight: 1 };
}

const RANDOM_CANDIDATES = 2;

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
    place: ({ runners, cached }) => holderOf(runners, cached) ?? leastOutstanding(runners),
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
];

function leastOutstanding(runners: readonly EmulatedRunner[]): EmulatedRunner {
  return runners.reduce((best, runner) => (runner.outstanding < best.outstanding ? runner : best));
}

function holderOf(
  runners: readonly EmulatedRunner[],
  cached: readonly CachedPrefix[],
): EmulatedRunner | undefined {
  return runners.find(({ name }) => cached.some((prefix) => prefix.runner === name));
}
