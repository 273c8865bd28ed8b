import { describe, it } from "node:test";
import { expect } from "earl";
import { AdaptiveTimeout } from "../../src/coordination/adaptive-timeout/index.ts";

describe("adaptive timeout", () => {
  it("is short when answers arrive quickly", () => {
    const timeout = new AdaptiveTimeout();
    for (let count = 0; count < 10; count += 1) timeout.recordAnswer(5);
    expect(timeout.currentMs).toEqual(100);
  });

  it("grows with each unanswered call, up to a bound, until a call is answered", () => {
    const timeout = new AdaptiveTimeout();
    timeout.recordAnswer(5);
    const waitsMs: number[] = [];
    for (let count = 0; count < 6; count += 1) {
      timeout.recordExpiry();
      waitsMs.push(timeout.currentMs);
    }
    expect(waitsMs).toEqual([200, 400, 800, 1_000, 1_000, 1_000]);
    timeout.recordAnswer(5);
    expect(timeout.currentMs).toEqual(100);
  });

  it("grows when answers become slow, so that it doesn't expire before they arrive", () => {
    const timeout = new AdaptiveTimeout();
    timeout.recordAnswer(5);
    for (let count = 0; count < 4; count += 1) timeout.recordAnswer(300);
    expect(timeout.currentMs > 400).toEqual(true);
  });
});
