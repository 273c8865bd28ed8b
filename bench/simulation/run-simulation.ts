import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import { CHECKERS } from "./checkers.ts";
import { drawFaultPlan, FAULT_KINDS, type Fault, type FaultKind, scheduleFaults } from "./faults.ts";
import { Observations } from "./observations.ts";
import { Operators } from "./operators.ts";
import { Caller } from "./workload.ts";
import { DEFAULT_WORLD, World, type WorldOptions } from "./world.ts";

/** Options of one simulation run. */
export interface SimulationOptions {
  readonly seed: number;
  /** Virtual time under faults, in ms. Default 60,000. */
  readonly durationMs?: number;
  readonly callers?: number;
  /** Kinds of faults to draw a plan from. Ignored if `plan` is given. */
  readonly kinds?: readonly FaultKind[];
  readonly plan?: readonly Fault[];
  readonly world?: Partial<WorldOptions>;
  readonly budgetTokens?: number;
}

/** The result of a run. */
export interface SimulationResult {
  readonly seed: number;
  readonly plan: readonly Fault[];
  /** Violated guarantees, each prefixed with the guarantee's name. */
  readonly broken: readonly string[];
  readonly trace: readonly string[];
  readonly observations: Observations;
  readonly world: World;
}

const START_LIMIT_MS = 30_000;
const DEFAULT_DURATION_MS = 60_000;
const DEFAULT_CALLERS = 6;
const DEFAULT_BUDGET_TOKENS = 400_000;
/** Maximum time for callers to finish after all faults have ended. */
const FINISH_LIMIT_MS = 120_000;
/** Time within which engines must free the memory of ended programs. */
const MEMORY_LIMIT_MS = 20_000;
const WITHDRAW_AFTER_PART = 0.3;

/** Runs a system under faults in virtual time, and checks its guarantees. */
export async function runSimulation(options: SimulationOptions, hash: TextHash): Promise<SimulationResult> {
  const { seed, durationMs = DEFAULT_DURATION_MS, callers = DEFAULT_CALLERS } = options;
  const budgetTokens = options.budgetTokens ?? DEFAULT_BUDGET_TOKENS;
  const world = new World({ ...DEFAULT_WORLD, ...options.world, seed }, hash);
  const observations = new Observations();
  const planRandom = new SeededRandomSource(seed + 1);
  await world.time.runUntil(START_LIMIT_MS, () => world.ready);
  const operators = new Operators(world, observations, seed + 2);
  let set = false;
  void operators.applyTemplates(budgetTokens).then(() => {
    set = true;
  });
  await world.time.runUntil(START_LIMIT_MS, () => set);
  if (!set) throw new Error(`Seed ${seed}: the system did not start.`);
  const startMs = world.time.nowMs;
  const endMs = startMs + durationMs;
  const plan =
    options.plan ?? drawFaultPlan(planRandom, startMs + 1_000, endMs, options.kinds ?? FAULT_KINDS);
  scheduleFaults(
    world,
    plan.map((fault) => (options.plan ? { ...fault, atMs: fault.atMs + startMs } : fault)),
  );
  observations.unfinished = callers;
  for (let index = 0; index < callers; index++) {
    const random = new SeededRandomSource(seed * 1_000 + index);
    void new Caller(world, observations, random, `caller-${index}`).run(endMs).then(() => {
      observations.unfinished -= 1;
    });
  }
  void operators.raceChanges(endMs);
  void operators.withdrawAndProbe(startMs + durationMs * WITHDRAW_AFTER_PART, endMs);
  await world.time.runUntil(endMs);
  await world.time.runUntil(endMs + FINISH_LIMIT_MS, () => observations.unfinished === 0);
  await world.time.runUntil(world.time.nowMs + MEMORY_LIMIT_MS);
  const input = { world, observations, budgetTokens, withdrawnMs: operators.withdrawnMs, plan };
  const broken = Object.entries(CHECKERS).flatMap(([name, check]) =>
    check(input).map((what) => `${name}: ${what}`),
  );
  return { seed, plan, broken, trace: world.trace, observations, world };
}
