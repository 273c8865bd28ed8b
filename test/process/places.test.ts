/** Tests the places that dispatchers assign, with gateways as separate processes. */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import type { TimedPlaceRecord } from "../../src/gateway/telemetry/timed-place-record.ts";
import type { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { knownRed } from "../support/known-red.ts";
import { DispatchedCluster, PROPAGATION_MS, SLOTS } from "./support/dispatched-cluster.ts";
import { call, newRequestId, turn } from "./support/gateway-caller.ts";
import { PATHS, pause } from "./support/gateway-cluster.ts";

/** Calls that may be in transit to a runner with short calls, in addition to those that it runs. */
const MAX_IN_TRANSIT = 2;
/** Run time of the calls that take all places: long enough for other gateways to know, and not much longer. */
const FILL_MS = 1.6 * PROPAGATION_MS;
/** Time within which log lines are written. */
const LOG_FLUSH_MS = 400;

interface CallLine {
  readonly msg: string;
  readonly request: string;
  readonly places?: readonly TimedPlaceRecord[];
}

const WAITING_TEST =
  "let calls wait for a place, refuse those that cannot, and send a runner no more than it works on";

describe("gateways whose runners have few places", () => {
  let cluster: DispatchedCluster;
  before(async () => {
    cluster = await DispatchedCluster.open(3, 1, 1);
  });
  after(() => cluster.stop());

  const gateway = (index: number) => cluster.gateway(index);

  function linesOf(prefix: string): CallLine[] {
    const lines = [...cluster.logs().values()].flatMap((log) => log.split("\n"));
    const parsed = lines.flatMap((line) => (line.startsWith("{") ? [JSON.parse(line) as CallLine] : []));
    return parsed.filter(({ request }) => request?.startsWith(prefix));
  }

  it(WAITING_TEST, knownRed(WAITING_TEST), async () => {
    const [service] = cluster.services as [RunnerStandin];
    await cluster.fill(service, FILL_MS, (filler) => call(filler, PATHS.unsafe, newRequestId(), 5_000));
    service.stepMs = 100;
    const waiting = Array.from({ length: 40 }, (_, index) =>
      call(gateway(index), PATHS.unsafe, `waits-${index}`, 5_000),
    );
    await pause(100);
    const startedMs = performance.now();
    const late = await Promise.all(
      Array.from({ length: 20 }, (_, index) => call(gateway(index), PATHS.unsafe, `late-${index}`, 150)),
    );
    expect(performance.now() - startedMs).toBeLessThan(1_000);
    expect(new Set(late.map(({ status }) => status))).toEqual(new Set([503]));
    expect(late.every(({ headers }) => Number(headers["retry-after"]) > 0)).toEqual(true);
    const answers = await Promise.all(waiting);
    expect(answers.filter(({ status }) => status !== 200 && status !== 503)).toEqual([]);
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(20);
    await pause(LOG_FLUSH_MS);
    expect(new Set(service.executedRequests.map(({ id }) => id)).size).toEqual(
      service.executedRequests.length,
    );
    expect(service.executedRequests.filter(({ id }) => id.startsWith("late-"))).toEqual([]);
    const granted = linesOf("waits-").flatMap(({ places = [] }) => places);
    expect(granted.filter(({ verdict }) => verdict === "granted").length).toBeGreaterThan(20);
    // On a busy machine the dispatcher may answer some calls too late; gateways then place these without it.
    const alone = granted.filter(({ verdict }) => verdict === "alone").length;
    expect(service.maxRunningCount).toBeLessThanOrEqual(SLOTS + alone);
    expect(new Set(granted.map(({ dispatcher }) => dispatcher)).size).toEqual(1);
    expect(Math.max(...granted.map(({ waitedMs }) => waitedMs))).toBeGreaterThan(100);
  });

  it("continue programs that have begun, and let others begin when there is capacity", async () => {
    const [engine] = cluster.engines as [RunnerStandin];
    const first = await turn(gateway(0), PATHS.turn, newRequestId(), { program: "begun" });
    expect(first.status).toEqual(200);
    await cluster.fill(engine, FILL_MS / engine.events, (filler, index) =>
      turn(filler, PATHS.turn, newRequestId(), { program: `fills-${index}`, deadlineMs: 15_000 }),
    );
    engine.stepMs = 10;
    const began = turn(gateway(1), PATHS.turn, "second-turn", { program: "begun" });
    expect((await began).status).toEqual(200);
    await pause(LOG_FLUSH_MS);
    const alone = linesOf("").flatMap(({ places = [] }) =>
      places.filter(({ verdict }) => verdict === "alone"),
    );
    expect(engine.maxRunningCount).toBeLessThanOrEqual(SLOTS + MAX_IN_TRANSIT + alone.length);
  });
});
