/** Tests the places that dispatchers assign while gateway processes are suspended or slow. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { DispatchedCluster, PROPAGATION_MS } from "./support/dispatched-cluster.ts";
import { call, newRequestId } from "./support/gateway-caller.ts";
import { PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";

/** Run time of the calls that take all places; the test checks the calls sent meanwhile well before that. */
const LONG_FILL_MS = 4_000;
/** Run time after which the calls that take all places end while places still count as scarce. */
const SHORT_FILL_MS = 2 * PROPAGATION_MS;
/** Deadline with which calls give up before those that take all places end. */
const SHORT_DEADLINE_MS = 300;
const FILL_DEADLINE_MS = 10_000;
const MAX_REFUSAL_MS = 600;

describe("gateways with delays while all places are taken", () => {
  let cluster: DispatchedCluster;

  beforeEach(async () => {
    cluster = await DispatchedCluster.open(3, 0, 1);
  });
  afterEach(() => cluster.stop());

  const gateway = (index: number) => cluster.gateway(index);

  /** Occupies all places for `fillMs` and waits until all gateways know of it. */
  async function fill(fillMs: number): Promise<RunnerStandin> {
    const [service] = cluster.services as [RunnerStandin];
    await cluster.fill(service, fillMs, (filler) =>
      call(filler, PATHS.unsafe, newRequestId(), FILL_DEADLINE_MS),
    );
    return service;
  }

  // Guards against answering 504 instead of an early 503 when a dispatcher answers too late.
  it("refuse calls that cannot meet their deadlines although the dispatcher does not answer", async () => {
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
    expect(tookMs).toBeLessThan(MAX_REFUSAL_MS);
    expect(service.executedRequests.filter(({ id }) => id.startsWith("late-"))).toEqual([]);
  });

  // Guards against answering 503 to calls with sufficient deadlines after slow calls have ended.
  it("serve calls with sufficient deadlines, however long the calls before them took", async () => {
    const service = await fill(SHORT_FILL_MS);
    service.stepMs = 100;
    // Each gateway notices that places are scarce, and treats them as scarce for some seconds longer.
    for (const index of cluster.gateways.keys())
      void call(gateway(index), PATHS.unsafe, newRequestId(), SHORT_DEADLINE_MS);
    while (service.runningCount > 0) await pause(20);
    const answers = await Promise.all(
      Array.from({ length: 40 }, (_, index) => call(gateway(index), PATHS.unsafe, newRequestId(), 5_000)),
    );
    expect(answers.map(({ status }) => status).filter((status) => status !== 200)).toEqual([]);
  });
});
