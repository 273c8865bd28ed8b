/** Answers of runners that leave the framing out and break off at any byte, in virtual time. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { runAnswerSimulation } from "../../bench/simulation/answers/run-answer-simulation.ts";

const SEEDS = 200;
/** Of the calls, this part at least is answered whole. */
const MIN_WHOLE_FRACTION = 0.6;

describe("answers that end by their connection or are broken off", () => {
  it("look complete only if they are, in every drawn run", async () => {
    let calls = 0;
    let whole = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const observations = await runAnswerSimulation(seed);
      expect(observations.violations).toEqual([]);
      calls += observations.calls;
      whole += observations.whole;
    }
    expect(whole >= MIN_WHOLE_FRACTION * calls).toEqual(true);
  });
});
