/** Loads workloads from a settings file: kinds of programs, engines, and the value of programs. */
import * as z from "zod";
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { loadSettings } from "../../src/settings/load-settings.ts";
import type { ProgramPlan, Scenario, TurnPlan } from "./scenarios.ts";

const positive = z.number().positive();
const count = z.int().min(1);
const spreadSchema = z.strictObject({
  mean: positive.describe("Mean"),
  most: positive.describe("Bound; the spread is about half of the mean"),
});

const programSchema = z.strictObject({
  kind: z.string(),
  share: positive.describe("Part of the programs, relative to the other kinds"),
  priorityClass: z.enum(["interactive", "deadline", "standard", "batch"]),
  weight: positive,
  sharedTokens: count.describe("Tokens of the beginning that programs share"),
  beginnings: count.describe("How many different beginnings there are"),
  turns: spreadSchema,
  newTokens: count.describe("Tokens that each turn adds to the prompt, mean"),
  outputTokens: spreadSchema,
  pauseMs: spreadSchema.describe("Pause for tools after a turn, ms"),
  aim: z.strictObject({ times: positive, addedMs: z.number().min(0) }),
  worth: z.strictObject({ inAim: z.number(), late: z.number(), refused: z.number() }),
});

const workloadSchema = z.strictObject({
  name: z.string(),
  runners: count,
  engine: z.strictObject({
    slots: count,
    kvTokens: count,
    stepMs: positive,
    stepMsPerSequence: z.number().min(0),
    prefillTokensPerStep: count,
    prefillMsPerToken: z.number().min(0),
  }),
  programs: z.array(programSchema).min(1),
});

type ProgramKind = z.infer<typeof programSchema>;
type Spread = z.infer<typeof spreadSchema>;

/** Standard deviation of the logarithm of drawn numbers. */
const RELATIVE_SPREAD = 0.5;

/** Reads a workload. Throws a configuration error that names the invalid line and a remedy. */
export async function loadWorkload(file: string): Promise<Scenario> {
  const { name, runners, engine, programs } = await loadSettings(file, [], workloadSchema);
  return { name, runners, engine, draw: (random) => drawProgram(programs, random) };
}

function drawProgram(kinds: readonly ProgramKind[], random: SeededRandomSource): ProgramPlan {
  const kind = drawKind(kinds, random);
  const { priorityClass, weight, sharedTokens, aim, worth } = kind;
  const turnCount = Math.max(1, Math.round(drawSpread(kind.turns, random)));
  return {
    kind: kind.kind,
    tenant: kind.kind,
    priorityClass,
    weight,
    sharedTokens,
    beginning: `${kind.kind} ${random.below(kind.beginnings)}`,
    deadlineMs: undefined,
    worth: { aim, ...worth },
    turns: Array.from({ length: turnCount }, () => drawTurn(kind, random)),
  };
}

function drawKind(kinds: readonly ProgramKind[], random: SeededRandomSource): ProgramKind {
  let rest = random.unit() * kinds.reduce((sum, { share }) => sum + share, 0);
  for (const kind of kinds) {
    rest -= kind.share;
    if (rest < 0) return kind;
  }
  return kinds[kinds.length - 1] as ProgramKind;
}

function drawTurn({ newTokens, outputTokens, pauseMs }: ProgramKind, random: SeededRandomSource): TurnPlan {
  return {
    newTokens: Math.round(drawSpread({ mean: newTokens, most: 4 * newTokens }, random)),
    outputTokens: Math.round(drawSpread(outputTokens, random)),
    pauseMs: drawSpread(pauseMs, random),
    children: [],
  };
}

/** Draws a log-normal number with the given mean, clamped to the range from 1 to the bound. */
function drawSpread({ mean, most }: Spread, random: SeededRandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.unit())) * Math.cos(2 * Math.PI * random.unit());
  const drawn = mean * Math.exp(RELATIVE_SPREAD * normal - RELATIVE_SPREAD ** 2 / 2);
  return Math.min(most, Math.max(1, drawn));
}
