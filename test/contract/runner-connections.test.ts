/** Connections to runners that are removed or restarted, and limits on their number. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { RunnerConnections } from "../../src/gateway/runners/runner-connections.ts";
import { sendRequest } from "../../src/ports/http/http-exchange.ts";
import { SystemClock } from "../../src/runtime/clock.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import { RunnerBalancer } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../src/scheduling/runner-balancing/runner-entry.ts";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { runnerEntry } from "./support/runner-entry.ts";

const ID = "runner-1#1" as RunnerId;
const NAME = "runner-1" as RunnerName;
/** Connections that the runner accepts from all gateways. */
const MAX_CONNECTIONS = 12;
/** Time that the runner takes to answer, in ms. */
const ANSWER_MS = 300;

describe("connections to runners", () => {
  let runner: RunnerStandin;
  let entry: RunnerEntry;
  let connections: RunnerConnections;
  let board: RunnerBalancer;
  let gateways: number;

  beforeEach(async () => {
    runner = new RunnerStandin(NAME);
    runner.stepMs = ANSWER_MS;
    const address = await runner.listen();
    entry = runnerEntry(ID, { name: NAME, startedAtMs: 1, address });
    board = new RunnerBalancer();
    board.upsert(entry);
    gateways = 1;
    connections = new RunnerConnections({
      clock: new SystemClock(),
      board,
      gateways: () => gateways,
      maxConnections: (pool) => (pool === "p" ? MAX_CONNECTIONS : undefined),
    });
  });

  afterEach(async () => {
    await connections.close();
    runner.close();
  });

  /** Sends a request; resolves with its result. */
  function ask(): Promise<string> {
    return new Promise<string>((resolve) => {
      const listener = {
        onHead: () => true,
        onData: () => undefined,
        onEnd: () => resolve("answered"),
        onFailed: (error: Error, sent: boolean) => resolve(`${sent ? "broken" : "unsent"}: ${error.message}`),
      };
      const request = { method: "GET", path: "/", headers: ["X-Request-Id", "r"], body: Buffer.alloc(0) };
      sendRequest(connections.pool(entry), request, listener);
    });
  }

  /** Sends a request, calls `act` once the runner has received it, and returns how and when the request ended. */
  async function askAnd(act: () => void): Promise<{ end: string; afterMs: number }> {
    const clock = new SystemClock();
    const sentMs = clock.monotonicMs();
    const ended = ask();
    while (runner.executedRequests.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    act();
    const end = await ended;
    return { end, afterMs: clock.monotonicMs() - sentMs };
  }

  it("lets requests in flight complete at a runner that was removed from the list", async () => {
    const { end } = await askAnd(() => connections.drain(ID));
    expect(end).toEqual("answered");
  });

  it("fails requests in flight at once when their runner has restarted, and discards its pool", async () => {
    const before = connections.pool(entry);
    const { end, afterMs } = await askAnd(() => connections.abort(ID));
    expect(end).toEqual("broken: the runner has started again");
    expect(afterMs < ANSWER_MS).toEqual(true);
    expect(connections.pool(entry) === before).toEqual(false);
  });

  it("closes pools with idle connections beyond the share, and no others", async () => {
    await Promise.all([ask(), ask(), ask(), ask()]);
    expect(connections.count).toEqual(4);
    gateways = 3;
    connections.trim();
    expect(connections.count).toEqual(4);
    gateways = 4;
    connections.trim();
    expect(connections.count).toEqual(0);
    expect(await ask()).toEqual("answered");
  });

  it("accepts requests as the share and the total use of connections allow", () => {
    gateways = 3;
    const accepted = Array.from({ length: 4 }, () => {
      const isAccepted = connections.withinShareFilter("p")(entry);
      board.recordStart(ID, 0, 1);
      return isAccepted;
    });
    expect(accepted).toEqual([true, true, true, true]);
    board.recordReport("other", { inFlight: [[ID, 2]], failing: [] }, 0);
    expect([
      connections.withinShareFilter("p")(entry),
      connections.withinShareFilter("unknown")(entry),
    ]).toEqual([false, true]);
  });
});
