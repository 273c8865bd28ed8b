/** Tests that a request under which runners have ended is not sent to more, and that no other request is held back. */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import type { RunnerEnd, RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { knownRed } from "../support/known-red.ts";
import {
  type AfterEnd,
  type CallerTry,
  EndingRunnersCluster,
  type RepeatedRequest,
  tryOnce,
} from "./support/ending-runners.ts";
import { PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";

const GATEWAYS = 3;
/** More than remember the runners that ended under a request. */
const MANY_GATEWAYS = 6;
const RUNNERS = 12;
/** Runners that one request may end, whatever the number of its tries. */
const MAX_ENDED_RUNNERS = 3;
const TRIES = 7;
const RETRY_MS = 120;
/** A refusal that is known at once takes less, in ms. */
const AT_ONCE_MS = 300;
/** Events of a stream that lasts for several tries of another request. */
const LONG_EVENTS = 40;
const STEP_MS = 25;
/** Events of a stream that ends its runner at each of several runs. */
const MIDWAY_EVENTS = 16;
/** Longer than the time between two reads of the list, in ms. */
const LIST_READ_MS = 1_500;
const SHORT_DEADLINE_MS = 400;
const NOT_RUN_STATUSES = [408, 421, 429, 503];

type RouteName = "turn" | "kept" | "safe" | "unsafe";

interface EndingCase {
  readonly route: RouteName;
  readonly endsAt: RunnerEnd;
  readonly afterEnd: AfterEnd;
}

const CASES: readonly EndingCase[] = [
  { route: "turn", endsAt: "beforeHead", afterEnd: "entryLeaves" },
  { route: "turn", endsAt: "beforeHead", afterEnd: "entryStays" },
  { route: "turn", endsAt: "beforeHead", afterEnd: "restarts" },
  { route: "turn", endsAt: "insideEvent", afterEnd: "entryLeaves" },
  { route: "turn", endsAt: "betweenEvents", afterEnd: "entryStays" },
  { route: "kept", endsAt: "beforeHead", afterEnd: "entryLeaves" },
  { route: "kept", endsAt: "insideEvent", afterEnd: "restarts" },
  { route: "safe", endsAt: "beforeHead", afterEnd: "entryLeaves" },
  { route: "safe", endsAt: "beforeHead", afterEnd: "entryStays" },
  { route: "unsafe", endsAt: "beforeHead", afterEnd: "restarts" },
];

let cluster: EndingRunnersCluster;

function gatewayOf(index: number): TestGateway {
  return cluster.gateways[index % cluster.gateways.length] as TestGateway;
}

function isStream(route: RouteName): boolean {
  return route === "turn" || route === "kept";
}

function requestOf(route: RouteName, body: string, endsAt?: RunnerEnd): RepeatedRequest {
  return { path: PATHS[route], body, endsAt };
}

/** Sends a request again and again, through the gateways in turn. */
async function tryInTurn(route: RouteName, request: RepeatedRequest, count = TRIES): Promise<CallerTry[]> {
  const tries: CallerTry[] = [];
  for (let index = 0; index < count; index += 1) {
    tries.push(await tryOnce(gatewayOf(index), request, isStream(route)));
    await pause(RETRY_MS);
  }
  return tries;
}

/** Sends a request until it is answered whole, as callers of calls that may run again do. */
async function sendUntilAnswered(
  route: RouteName,
  request: RepeatedRequest,
  first: number,
): Promise<CallerTry[]> {
  const tries: CallerTry[] = [];
  while (tries.length < TRIES && !isAnswered(tries)) {
    if (tries.length > 0) await pause(RETRY_MS);
    tries.push(await tryOnce(gatewayOf(first + tries.length), request, isStream(route)));
  }
  return tries;
}

function isAnswered(tries: readonly CallerTry[]): boolean {
  const last = tries.at(-1);
  return last?.status === 200 && last.isWhole;
}

async function expectServed(route: RouteName): Promise<void> {
  const other = await tryOnce(gatewayOf(0), requestOf(route, "another request"), isStream(route));
  expect([other.status, other.isWhole]).toEqual([200, true]);
}

function runsThatEnded(request: RepeatedRequest): number {
  return cluster.runners.filter(
    ({ hasEnded, executedRequests }) =>
      hasEnded && executedRequests.some(({ body }) => body === request.body),
  ).length;
}

/** Names of the tests, under which those that are known to fail are listed. */
const NAMES = {
  limit: ({ route, endsAt, afterEnd }: EndingCase) =>
    `ends three runners at most under one request in all its tries (${route}, ${endsAt}, ${afterEnd})`,
  atOnce: "refuses a request under which three runners have ended at once, and never as not run",
  atTheSameTime: "counts tries in flight at several gateways together",
  twoAtOnce: "counts two tries in flight at two gateways together",
  killed: "goes on counting when the gateways that counted are killed in turn",
  beside: "answers every request that only sat beside one that ends runners",
  fewRunners: "answers requests beside one that ends its runners where there are three of them",
  otherCauses: "loses no request when runners are killed for other reasons",
  cleared: "suspects no request that has been run to its end",
  sameContent:
    "answers all calls of one content whose runners are killed again and again, gateway by gateway",
  silent: "counts runners that fell silent under a request and left the list",
  noneLeft: "refuses no suspect as not run while no runner is left",
  resetOnly: "counts no runner that only resets connections",
  full: "goes on with a broken stream at its runner only, although that refuses it as full",
};

describe("requests under which runners end", () => {
  afterEach(() => cluster?.stop());

  for (const ending of CASES) {
    const name = NAMES.limit(ending);
    it(name, knownRed(name), async () => {
      cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
      cluster.afterEnd = ending.afterEnd;
      for (const runner of cluster.engines) runner.events = MIDWAY_EVENTS;
      const bad = requestOf(ending.route, "bad", ending.endsAt);
      await tryInTurn(ending.route, bad);
      expect(cluster.endedCount <= MAX_ENDED_RUNNERS).toEqual(true);
      await expectServed(ending.route);
    });
  }

  it(NAMES.atOnce, knownRed(NAMES.atOnce), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    for (const route of ["turn", "safe", "unsafe"] as const) {
      const bad = requestOf(route, `bad ${route}`, "beforeHead");
      const tries = await tryInTurn(route, bad);
      const ended = runsThatEnded(bad);
      expect(ended).toEqual(MAX_ENDED_RUNNERS);
      const [last, lastButOne] = [tries.at(-1) as CallerTry, tries.at(-2) as CallerTry];
      expect([last.status, lastButOne.status]).toEqual([502, 502]);
      expect(Math.max(last.elapsedMs, lastButOne.elapsedMs) <= AT_ONCE_MS).toEqual(true);
      expect(tries.filter(({ status }) => NOT_RUN_STATUSES.includes(status))).toEqual([]);
    }
  });

  it(NAMES.atTheSameTime, knownRed(NAMES.atTheSameTime), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    for (const route of ["turn", "safe"] as const) {
      const bad = requestOf(route, `bad ${route}`, "beforeHead");
      for (let round = 0; round < 3; round += 1)
        await Promise.all(cluster.gateways.map((gateway) => tryOnce(gateway, bad, isStream(route))));
      expect(runsThatEnded(bad) <= MAX_ENDED_RUNNERS).toEqual(true);
    }
  });

  it(NAMES.twoAtOnce, knownRed(NAMES.twoAtOnce), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    for (const route of ["turn", "safe"] as const) {
      const bad = requestOf(route, `bad ${route}`, "beforeHead");
      for (let round = 0; round < GATEWAYS; round += 1) {
        const pair = [gatewayOf(round), gatewayOf(round + 1)];
        await Promise.all(pair.map((gateway) => tryOnce(gateway, bad, isStream(route))));
      }
      expect(runsThatEnded(bad) <= MAX_ENDED_RUNNERS).toEqual(true);
    }
  });

  it(NAMES.killed, knownRed(NAMES.killed), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    const bad = requestOf("unsafe", "bad", "beforeHead");
    for (let round = 0; round < 2 * GATEWAYS; round += 1) {
      await tryOnce(gatewayOf(round), bad, false);
      const killed = gatewayOf(round);
      await killed.process.kill();
      cluster.restart(killed);
      await cluster.ready();
    }
    expect(cluster.endedCount <= MAX_ENDED_RUNNERS).toEqual(true);
  });

  it(NAMES.beside, knownRed(NAMES.beside), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    cluster.afterEnd = "restarts";
    for (const runner of cluster.runners) slowDown(runner);
    const bad = ["bad 1", "bad 2", "bad 3"].map((body) => requestOf("turn", body, "betweenEvents"));
    const badCalls = bad.map((request) => requestOf("safe", request.body, "beforeHead"));
    const innocent = Array.from({ length: 60 }, (_, index) =>
      sendUntilAnswered("turn", requestOf("turn", `stream ${index}`), index),
    );
    const innocentCalls = Array.from({ length: 60 }, async (_, index) => {
      await pause(index * STEP_MS);
      return sendUntilAnswered("safe", requestOf("safe", `call ${index}`), index);
    });
    await pause(2 * STEP_MS);
    const sent = [
      ...bad.map((request) => tryInTurn("turn", request)),
      ...badCalls.map((request) => tryInTurn("safe", request)),
    ];
    await Promise.all(sent);
    const answered = [...(await Promise.all(innocent)), ...(await Promise.all(innocentCalls))];
    expect(answered.filter((tries) => !isAnswered(tries))).toEqual([]);
  });

  it(NAMES.fewRunners, knownRed(NAMES.fewRunners), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, 3, 3);
    cluster.afterEnd = "restarts";
    for (const runner of cluster.runners) slowDown(runner);
    const innocent = Array.from({ length: 12 }, (_, index) =>
      sendUntilAnswered("turn", requestOf("turn", `stream ${index}`), index),
    );
    await pause(2 * STEP_MS);
    await tryInTurn("turn", requestOf("turn", "bad", "betweenEvents"));
    const unanswered = (await Promise.all(innocent)).filter((tries) => !isAnswered(tries));
    expect(unanswered).toEqual([]);
  });

  it(NAMES.otherCauses, knownRed(NAMES.otherCauses), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    cluster.afterEnd = "restarts";
    for (const runner of cluster.runners) slowDown(runner);
    const streams = Array.from({ length: 48 }, (_, index) =>
      sendUntilAnswered("turn", requestOf("turn", `stream ${index}`), index),
    );
    for (let round = 0; round < 3; round += 1) {
      await pause(8 * STEP_MS);
      const running = cluster.engines.filter(({ hasEnded }) => !hasEnded);
      for (const runner of running.slice(0, RUNNERS / 3)) runner.end();
    }
    const answers = await Promise.all(streams);
    expect(answers.filter((tries) => !isAnswered(tries))).toEqual([]);
  });

  it(NAMES.cleared, knownRed(NAMES.cleared), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, 2, 2);
    cluster.afterEnd = "restarts";
    const request = requestOf("safe", "innocent");
    for (let round = 0; round < MAX_ENDED_RUNNERS + 1; round += 1) {
      for (const runner of cluster.services) runner.stepMs = 4 * STEP_MS;
      const tried = tryOnce(gatewayOf(round), request, false);
      await pause(2 * STEP_MS);
      for (const runner of cluster.services) if (runner.runningCount > 0) runner.end();
      expect((await tried).status).toEqual(200);
      await pause(LIST_READ_MS);
    }
  });

  it(NAMES.sameContent, knownRed(NAMES.sameContent), async () => {
    cluster = await EndingRunnersCluster.start(MANY_GATEWAYS, 2, RUNNERS);
    cluster.afterEnd = "restarts";
    const request = requestOf("safe", "innocent");
    for (const gateway of cluster.gateways) {
      const running = cluster.services.filter(({ hasEnded }) => !hasEnded);
      for (const runner of running) runner.stepMs = 8 * STEP_MS;
      const calls = Array.from({ length: 2 * RUNNERS }, () => tryOnce(gateway, request, false));
      await pause(4 * STEP_MS);
      for (const runner of running.slice(0, 2)) runner.end();
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
      await pause(LIST_READ_MS);
    }
  });

  it(NAMES.silent, knownRed(NAMES.silent), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, RUNNERS, RUNNERS);
    const request = requestOf("unsafe", "bad");
    for (const runner of cluster.services) runner.fault = "silent";
    const lost = () => cluster.services.filter(({ executedRequests }) => executedRequests.length > 0);
    // A gateway that has just started keeps a runner without an entry for a while, and may try it again.
    for (let round = 0; round < TRIES && lost().length < MAX_ENDED_RUNNERS; round += 1) {
      await tryOnce(gatewayOf(round), request, false, SHORT_DEADLINE_MS);
      for (const runner of lost()) cluster.store.remove("servers", runner.id);
      await pause(LIST_READ_MS);
    }
    expect(lost().length).toEqual(MAX_ENDED_RUNNERS);
    const runs = cluster.runsOf(request).length;
    for (const gateway of cluster.gateways) {
      const refused = await tryOnce(gateway, request, false, SHORT_DEADLINE_MS);
      expect([refused.status, cluster.runsOf(request).length]).toEqual([502, runs]);
    }
  });

  it(NAMES.noneLeft, knownRed(NAMES.noneLeft), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, 2, 2);
    for (const route of ["turn", "safe"] as const) {
      const tries = await tryInTurn(route, requestOf(route, `bad ${route}`, "beforeHead"));
      expect(tries.map(({ status }) => status)).toEqual(tries.map(() => 502));
    }
  });

  it(NAMES.resetOnly, knownRed(NAMES.resetOnly), async () => {
    cluster = await EndingRunnersCluster.start(GATEWAYS, 2, 2);
    for (const runner of cluster.services) runner.fault = "lostAnswer";
    const request = requestOf("safe", "innocent");
    await tryInTurn("safe", request);
    for (const runner of cluster.services) runner.fault = "none";
    expect(isAnswered(await tryInTurn("safe", request, 1))).toEqual(true);
  });

  it(NAMES.full, knownRed(NAMES.full), async () => {
    cluster = await EndingRunnersCluster.start(1, RUNNERS, 0);
    for (let round = 0; round < RUNNERS; round += 1) {
      const request = requestOf("turn", `stream ${round}`);
      for (const runner of cluster.engines) runner.nextFaults = ["breakStream", "full", "full"];
      const answer = await tryOnce(gatewayOf(0), request, true);
      expect([answer.status, answer.isWhole]).toEqual([200, true]);
      const ran = cluster.engines.filter(({ executedRequests }) =>
        executedRequests.some(({ body }) => body === request.body),
      );
      expect(ran.length).toEqual(1);
    }
  });
});

function slowDown(runner: RunnerStandin): void {
  runner.events = LONG_EVENTS;
  runner.stepMs = STEP_MS;
}
