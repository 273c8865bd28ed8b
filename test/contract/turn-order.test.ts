/** The order in which runners serve turns, and which programs may start. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { mayStartProgram } from "../../src/scheduling/admission/program-admission.ts";
import { turnUrgency } from "../../src/scheduling/urgency/turn-urgency.ts";

const TARGET_MS = 200;

describe("urgency of turns", () => {
  const CASES: [timeLeftMs: number, urgency: number][] = [
    [1, 1],
    [500, 1],
    [501, 2],
    [1_000, 2],
    [2_000, 3],
    [4_000, 4],
    [8_000, 5],
    [16_000, 6],
    [32_001, 7],
    [1_000_000, 7],
    [0, 8],
    [-5_000, 8],
  ];
  for (const [timeLeftMs, urgency] of CASES) {
    it(`is ${urgency} with ${timeLeftMs} ms left at a target of ${TARGET_MS} ms`, () => {
      expect(turnUrgency({ timeLeftMs, targetLatencyMs: TARGET_MS })).toEqual(urgency);
    });
  }

  it("depends only on the ratio of the time left to the target", () => {
    for (const [timeLeftMs, urgency] of CASES)
      expect(turnUrgency({ timeLeftMs: 7 * timeLeftMs, targetLatencyMs: 7 * TARGET_MS })).toEqual(urgency);
  });
});

describe("admission of programs", () => {
  it("refuses nothing while half of the places are free, whatever the rank", () => {
    for (const rank of [0, 1, 2, 9])
      expect(mayStartProgram({ occupancy: 0.5, rank, sample: 0 })).toEqual(true);
  });

  it("refuses all new programs once all places are taken and many calls wait", () => {
    for (const rank of [0, 1, 2, 9])
      expect(mayStartProgram({ occupancy: 1.3, rank, sample: 0.999 })).toEqual(false);
  });

  it("refuses less important routes first, and more programs the fuller the runners are", () => {
    const refusedPercent = (occupancy: number, rank: number) => {
      const samples = Array.from({ length: 100 }, (_, index) => index / 100);
      return samples.filter((sample) => !mayStartProgram({ occupancy, rank, sample })).length;
    };
    for (const occupancy of [0.85, 0.95, 1.05])
      expect(refusedPercent(occupancy, 1) > refusedPercent(occupancy, 0)).toEqual(true);
    expect(refusedPercent(1.1, 0) > refusedPercent(1, 0)).toEqual(true);
  });
});
