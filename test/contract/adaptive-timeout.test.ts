import { describe, it } from "node:test";
import { expect } from "earl";
import { AdaptiveTimeout } from "../../src/coordination/adaptive-timeout/index.ts";

describe("adaptive timeout", () => {
  it("waits a short while for answers that come soon", () => {
    const timeout = new AdaptiveTimeout();
    for (let count = 0; count < 10; count += 1) timeout.recordAnswer(5);
    expect(timeout.currentMs).toEqual(100);
  });

  it("waits longer with each call that is not answered, up to a bound, until one is", () => {
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

  it("follows answers that have become slow, and does not cut them off", () => {
    const timeout = new AdaptiveTimeout();
    timeout.recordAnswer(5);
    for (let count = 0; count < 4; count += 1) timeout.recordAnswer(300);
    expect(timeout.currentMs > 400).toEqual(true);
  });
});
