/** The circuit breaker of a route to the store, on virtual time. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import { StoreRoute } from "../../src/gateway/store/store-route.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";

const ANSWER_TIMEOUT_MS = 100;

let time: VirtualTime;
let route: StoreRoute;

function failCalls(times: number): void {
  for (let count = 0; count < times; count += 1) route.recordFailure(route.startCall(false));
}

describe("store route", () => {
  beforeEach(() => {
    time = new VirtualTime();
    const clock = new SimulatedProcess("gateway", "zone", time);
    route = new StoreRoute(clock, new SeededRandomSource(1), () => ANSWER_TIMEOUT_MS);
  });

  it("stays usable after one failure, since the store refuses single calls", () => {
    failCalls(1);
    expect(route.state).toEqual("usable");
  });

  it("opens after two consecutive failures, and lets one call through after a back-off", async () => {
    failCalls(2);
    expect(route.state).toEqual("open");
    await time.runUntil(200);
    expect(route.state).toEqual("usable");
    const probe = route.startCall(false);
    expect(route.state).toEqual("open");
    route.recordAnswer(probe);
    expect(route.state).toEqual("usable");
  });

  it("backs off longer with each failed call, and never longer than a second", async () => {
    failCalls(2);
    for (let count = 0; count < 10; count += 1) {
      await time.runUntil(time.nowMs + 1_000);
      expect(route.state).toEqual("usable");
      failCalls(1);
      expect(route.state).toEqual("open");
    }
  });

  it("lets a call through at once when there is a sign that it works again", () => {
    failCalls(4);
    route.endBackoff();
    expect(route.state).toEqual("usable");
  });

  it("is stalled while a call exceeds the answer timeout and nothing is answered", async () => {
    const call = route.startCall(false);
    await time.runUntil(ANSWER_TIMEOUT_MS + 1);
    expect(route.state).toEqual("stalled");
    route.recordAnswer(call);
    expect(route.state).toEqual("usable");
  });

  it("is not stalled by one lost answer among others", async () => {
    route.startCall(false);
    await time.runUntil(50);
    route.recordAnswer(route.startCall(false));
    await time.runUntil(ANSWER_TIMEOUT_MS + 1);
    expect(route.state).toEqual("usable");
  });

  it("does not count a long poll as a stalled call", async () => {
    route.startCall(true);
    await time.runUntil(2_000);
    expect(route.state).toEqual("usable");
  });

  it("stays usable while other calls are answered, since some parts of the store may refuse", async () => {
    for (let count = 0; count < 10; count += 1) {
      route.recordAnswer(route.startCall(false));
      await time.runUntil(time.nowMs + ANSWER_TIMEOUT_MS / 2);
      failCalls(5);
      expect(route.state).toEqual("usable");
    }
    await time.runUntil(time.nowMs + ANSWER_TIMEOUT_MS);
    failCalls(2);
    expect(route.state).toEqual("open");
  });

  it("ignores failures of calls that started before the last answer", async () => {
    const early = [route.startCall(false), route.startCall(false), route.startCall(false)];
    await time.runUntil(10);
    route.recordAnswer(route.startCall(false));
    for (const call of early) route.recordFailure(call);
    expect(route.state).toEqual("usable");
  });
});
