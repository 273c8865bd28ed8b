import { before, describe, it } from "node:test";
import { expect } from "earl";
import { EventQueue } from "../../bench/experiment/event-queue.ts";
import { POLICIES } from "../../bench/experiment/policies.ts";
import { runExperiment } from "../../bench/experiment/run-experiment.ts";
import { MAGNOLIA } from "../../bench/experiment/scenarios.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const DURATION_MS = 20_000;

describe("event queue", () => {
  it("runs events by time, and events of equal time in scheduling order", () => {
    const queue = new EventQueue();
    const ran: string[] = [];
    for (const [delayMs, name] of [
      [30, "d"],
      [10, "a"],
      [20, "b"],
      [20, "c"],
      [99, "late"],
    ] as const) {
      queue.after(delayMs, () => ran.push(`${name}@${queue.nowMs}`));
    }
    queue.run(50);
    expect(ran).toEqual(["a@10", "b@20", "c@20", "d@30"]);
  });
});

describe("experiments", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  const run = (name: string, load = 0.7) => {
    const policy = POLICIES.find((one) => one.name === name);
    if (!policy) throw new Error(`There is no policy ${name}.`);
    return runExperiment({ scenario: MAGNOLIA, policy, seed: 1, load, durationMs: DURATION_MS }, hash);
  };

  it("give the same results for the same seed", () => {
    expect(run("tulipwheel")).toEqual(run("tulipwheel"));
  });

  it("give every policy the same programs, and complete them all", () => {
    const results = POLICIES.map(({ name }) => run(name));
    const kinds = results.map(({ programs }) => programs.map(({ kind }) => kind).sort());
    for (const result of results) expect(result.unfinished).toEqual(0);
    expect(kinds[1]).toEqual(kinds[0]);
    expect(kinds[3]).toEqual(kinds[0]);
  });

  it("count fewer wasted tokens when calls go to the runner that caches the prefix", () => {
    expect(run("tulipwheel").wastedTokens < run("least-outstanding").wastedTokens / 2).toEqual(true);
  });

  it("never show a program faster than its critical path", () => {
    for (const { latencyMs, boundMs } of run("least-outstanding").programs) {
      expect(latencyMs > boundMs * 0.9).toEqual(true);
    }
  });
});
