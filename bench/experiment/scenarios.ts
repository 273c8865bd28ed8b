/** The users' workloads: programs as chains of turns with pauses for tools, and sub-agents that fork the history. */
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { PriorityClass } from "../../src/scheduling/policy/effective-policy.ts";
import { type EngineParameters, SLOW_ENGINE } from "./engine-parameters.ts";

/** One turn of a program. */
export interface TurnPlan {
  /** Tokens of the new messages. */
  readonly newTokens: number;
  readonly outputTokens: number;
  /** Pause for a tool after the turn, in ms. */
  readonly pauseMs: number;
  /** Sub-agents that run after the turn, each on a fork of the history; the program continues when all have ended. */
  readonly children: readonly ProgramPlan[];
}

/** The whole course of a program, which only the emulation knows in advance. */
export interface ProgramPlan {
  readonly kind: string;
  readonly tenant: string;
  readonly priorityClass: PriorityClass;
  readonly weight: number;
  /** Tokens of the shared beginning of the prompt. */
  readonly sharedTokens: number;
  /** Identifies the beginning: programs with the same value share it. */
  readonly beginning: string;
  /** Time until the deadline from the start, in ms. */
  readonly deadlineMs: number | undefined;
  /** The value that the program can earn; undefined where value is not counted. */
  readonly worth: ProgramWorth | undefined;
  readonly turns: readonly TurnPlan[];
}

/** Value of a program that ends within its target time, within twice that, or is refused at its first turn. */
export interface ProgramWorth {
  /** Target time: a multiple of the critical path, plus a constant in ms. */
  readonly aim: { readonly times: number; readonly addedMs: number };
  readonly inAim: number;
  readonly late: number;
  readonly refused: number;
}

/** A workload and the runners that serve it. */
export interface Scenario {
  readonly name: string;
  readonly runners: number;
  readonly engine: EngineParameters;
  /** Draws the next program. */
  draw(random: SeededRandomSource): ProgramPlan;
}

const TOOL_MEDIAN_MS = 1_200;
const TOOL_SPREAD = 1.2;
const LONGEST_TOOL_MS = 30_000;

/** Magnolia: pay runs with branching exceptions before a cutoff, mixed with bookkeepers' questions. */
export const MAGNOLIA: Scenario = {
  name: "magnolia",
  runners: 8,
  engine: SLOW_ENGINE,
  draw: (random) => (random.unit() < 0.25 ? payRun(random) : question(random)),
};

/** Rateora: checkouts with a shopper waiting, mixed with chats about rescheduling. */
export const RATEORA: Scenario = {
  name: "rateora",
  runners: 10,
  engine: SLOW_ENGINE,
  draw: (random) => (random.unit() < 0.7 ? checkout(random) : reschedule(random)),
};

function payRun(random: SeededRandomSource): ProgramPlan {
  const exceptions = Array.from({ length: 2 + random.below(4) }, () => exceptionCheck(random));
  return {
    kind: "pay-run",
    beginning: "pay-run",
    worth: undefined,
    tenant: "magnolia",
    priorityClass: "deadline",
    weight: 3,
    sharedTokens: 4_000,
    deadlineMs: 120_000,
    turns: [turn(random, 1_500, 120, exceptions), turn(random, 300, 100), turn(random, 200, 80)],
  };
}

function exceptionCheck(random: SeededRandomSource): ProgramPlan {
  const checks = random.below(4);
  const turns = Array.from({ length: 1 + checks }, () => turn(random, 250, 90));
  return { ...payRunBase, turns };
}

const payRunBase = {
  kind: "exception",
  beginning: "exception",
  worth: undefined,
  tenant: "magnolia",
  priorityClass: "deadline",
  weight: 3,
  sharedTokens: 4_000,
  deadlineMs: undefined,
} as const;

function question(random: SeededRandomSource): ProgramPlan {
  return {
    kind: "question",
    beginning: "question",
    worth: undefined,
    tenant: "magnolia",
    priorityClass: "interactive",
    weight: 1,
    sharedTokens: 1_200,
    deadlineMs: 30_000,
    turns: Array.from({ length: 2 + random.below(3) }, () => turn(random, 200, 80)),
  };
}

function checkout(random: SeededRandomSource): ProgramPlan {
  return {
    kind: "checkout",
    beginning: "checkout",
    worth: undefined,
    tenant: "rateora",
    priorityClass: "interactive",
    weight: 4,
    sharedTokens: 1_800,
    deadlineMs: 8_000,
    turns: Array.from({ length: 2 + random.below(2) }, () => ({
      ...turn(random, 150, 25),
      pauseMs: 50 + random.below(150),
    })),
  };
}

function reschedule(random: SeededRandomSource): ProgramPlan {
  return {
    kind: "reschedule",
    beginning: "reschedule",
    worth: undefined,
    tenant: "rateora",
    priorityClass: "standard",
    weight: 1,
    sharedTokens: 1_200,
    deadlineMs: undefined,
    turns: Array.from({ length: 4 + random.below(6) }, () => turn(random, 250, 120)),
  };
}

function turn(
  random: SeededRandomSource,
  newTokens: number,
  outputTokens: number,
  children: readonly ProgramPlan[] = [],
): TurnPlan {
  const around = (mean: number) => Math.max(4, Math.round(mean * (0.5 + random.unit())));
  return {
    newTokens: around(newTokens),
    outputTokens: around(outputTokens),
    pauseMs: toolPauseMs(random),
    children,
  };
}

/** Draws a log-normal pause with the Box-Muller transform. */
function toolPauseMs(random: SeededRandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.unit())) * Math.cos(2 * Math.PI * random.unit());
  return Math.min(LONGEST_TOOL_MS, TOOL_MEDIAN_MS * Math.exp(TOOL_SPREAD * normal));
}
