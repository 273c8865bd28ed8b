/** Workloads from settings files, and the value that programs earn in experiments. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";
import { POLICIES } from "../../bench/experiment/policies.ts";
import { runExperiment } from "../../bench/experiment/run-experiment.ts";
import type { ProgramPlan, Scenario } from "../../bench/experiment/scenarios.ts";
import { loadWorkload } from "../../bench/experiment/workload-settings.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { loadTextHash } from "../../src/runtime/text-hash.ts";

const EXAMPLE = "examples/experiments/rateora-checkout.yaml";

function draw(scenario: Scenario, count: number): ProgramPlan[] {
  const random = new SeededRandomSource(1);
  return Array.from({ length: count }, () => scenario.draw(random));
}

describe("workloads from settings files", () => {
  it("draw kinds by their shares, and turns within their bounds", async () => {
    const programs = draw(await loadWorkload(EXAMPLE), 2_000);
    const checkouts = programs.filter(({ kind }) => kind === "checkout-offer");
    expect(Math.abs(checkouts.length / programs.length - 0.7) < 0.05).toEqual(true);
    expect(Math.max(...checkouts.map(({ turns }) => turns.length)) <= 8).toEqual(true);
    const outputs = programs.flatMap(({ turns }) => turns.map(({ outputTokens }) => outputTokens));
    expect([Math.min(...outputs) >= 1, Math.max(...outputs) <= 593]).toEqual([true, true]);
    const mean = outputs.reduce((sum, tokens) => sum + tokens, 0) / outputs.length;
    expect(Math.abs(mean - 257) < 15).toEqual(true);
    expect(new Set(checkouts.map(({ beginning }) => beginning)).size).toEqual(8);
  });

  it("are rejected with the number of the invalid line", async () => {
    const folder = await mkdtemp(join(tmpdir(), "tulipwheel-workload-"));
    const file = join(folder, "workload.yaml");
    await writeFile(file, "name: w\nrunners: none\nprograms: []\n");
    await expect(loadWorkload(file)).toBeRejectedWith(/workload\.yaml:2: runners/);
    await rm(folder, { recursive: true });
  });
});

describe("the value that programs earn", () => {
  const turn = { newTokens: 100, outputTokens: 40, pauseMs: 0, children: [] };
  const aim = { times: 1.4, addedMs: 200 };
  const plan: ProgramPlan = {
    kind: "k",
    tenant: "t",
    priorityClass: "interactive",
    weight: 1,
    sharedTokens: 500,
    beginning: "k 0",
    deadlineMs: undefined,
    worth: { aim, inAim: 10, late: 1, refused: -3 },
    turns: [turn, turn],
  };
  const engine = {
    slots: 2,
    kvTokens: 50_000,
    stepMs: 1,
    stepMsPerSequence: 0.1,
    prefillTokensPerStep: 512,
    prefillMsPerToken: 0.01,
  };
  const scenario: Scenario = { name: "s", runners: 2, engine, draw: () => plan };

  async function shareOf(load: number, admits: boolean): Promise<{ earned: number; refused: number }> {
    const [base] = POLICIES.filter(({ name }) => name === "gateway");
    if (!base) throw new Error("There is no policy gateway.");
    const policy = { ...base, admits: () => admits };
    const hash = await loadTextHash();
    const result = runExperiment({ scenario, policy, seed: 1, load, durationMs: 10_000 }, hash);
    const earned = result.programs.reduce((sum, one) => sum + one.earned, result.refusedEarned);
    const owed = result.programs.reduce((sum, one) => sum + one.owed, result.refusedOwed);
    return { earned: earned / owed, refused: result.refused };
  }

  it("is the maximum while there is free capacity", async () => {
    expect(await shareOf(0.1, true)).toEqual({ earned: 1, refused: 0 });
  });

  it("is low when programs arrive faster than the capacity allows", async () => {
    expect((await shareOf(4, true)).earned < 0.3).toEqual(true);
  });

  it("is the value of a refusal when no program may start", async () => {
    const { earned, refused } = await shareOf(0.5, false);
    expect([earned, refused > 10]).toEqual([-0.3, true]);
  });
});
