/** Places that dispatchers hand out, while gateways that are separate processes are held up. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { DispatchedCluster, HEARD_MS } from "./support/dispatched-cluster.ts";
import { call, newRequestId } from "./support/gateway-caller.ts";
import { PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";

/** Calls that take all places run until long after the test has looked at those that come meanwhile. */
const LONG_FILL_MS = 4_000;
/** They are over while places still count as scarce. */
const SHORT_FILL_MS = 2 * HEARD_MS;
/** Calls that wait for so long at most have given up before the others end. */
const GIVEN_UP_MS = 300;
const FILL_DEADLINE_MS = 10_000;
const HELD_UP_MS = 600;

describe("gateways that are held up while all places are taken", () => {
  let cluster: DispatchedCluster;

  beforeEach(async () => {
    cluster = await DispatchedCluster.open(3, 0, 1);
  });
  afterEach(() => cluster.stop());

  const gateway = (index: number) => cluster.gateway(index);

  /** Takes all places for so long, in ms, and waits until all gateways have heard of it. */
  async function fill(fillMs: number): Promise<RunnerStandin> {
    const [service] = cluster.services as [RunnerStandin];
    await cluster.fill(service, fillMs, (filler) =>
      call(filler, PATHS.unsafe, newRequestId(), FILL_DEADLINE_MS),
    );
    return service;
  }

  // Guards against 504 in place of an early 503, when a dispatcher answers too late.
  it("refuse calls that cannot be in time although the dispatcher does not answer", async () => {
    const service = await fill(LONG_FILL_MS);
    void call(gateway(0), PATHS.unsafe, newRequestId(), 5_000);
    const dispatcher = await cluster.dispatcher();
    const others = cluster.gateways.filter((one) => one !== dispatcher);
    dispatcher.process.signal("SIGSTOP");
    const startedMs = performance.now();
    const late = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        call(others[index % others.length] as TestGateway, PATHS.unsafe, `late-${index}`, 190),
      ),
    );
    const tookMs = performance.now() - startedMs;
    dispatcher.process.signal("SIGCONT");
    expect(late.map(({ status }) => status).filter((status) => status !== 503)).toEqual([]);
    expect(late.every(({ headers }) => Number(headers["retry-after"]) > 0)).toEqual(true);
    expect(tookMs).toBeLessThan(HELD_UP_MS);
    expect(service.executedRequests.filter(({ id }) => id.startsWith("late-"))).toEqual([]);
  });

  // Guards against 503 for calls that have time, after calls that took long have ended.
  it("serve calls whose time suffices, however long those before them took", async () => {
    const service = await fill(SHORT_FILL_MS);
    service.stepMs = 100;
    // Each gateway notices that places are scarce, and takes them for scarce some seconds longer.
    for (const index of cluster.gateways.keys())
      void call(gateway(index), PATHS.unsafe, newRequestId(), GIVEN_UP_MS);
    while (service.runningCount > 0) await pause(20);
    const answers = await Promise.all(
      Array.from({ length: 40 }, (_, index) => call(gateway(index), PATHS.unsafe, newRequestId(), 5_000)),
    );
    expect(answers.map(({ status }) => status).filter((status) => status !== 200)).toEqual([]);
  });
});
