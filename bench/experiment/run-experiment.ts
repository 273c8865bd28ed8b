import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import type { ChatMessage } from "../../src/scheduling/program/records.ts";
import type { CachedPrefix } from "../../src/scheduling/runner-selection/runner-view.ts";
import { CHARACTERS_PER_TOKEN } from "../../standins/engine/prefix-cache.ts";
import { EmulatedRunner } from "./emulated-runner.ts";
import type { EngineParameters } from "./engine-parameters.ts";
import { EventQueue } from "./event-queue.ts";
import type { Policy } from "./policies.ts";
import type { ProgramPlan, Scenario, TurnPlan } from "./scenarios.ts";

/** The outcome of one program. */
export interface ProgramOutcome {
  readonly kind: string;
  readonly latencyMs: number;
  /** Latency in an otherwise empty system: the length of the critical path. */
  readonly boundMs: number;
  readonly missedDeadline: boolean;
  /** Value earned, and the maximum it could earn (`owed`); both 0 where value is not counted. */
  readonly earned: number;
  readonly owed: number;
}

/** The results of one run. */
export interface ExperimentResult {
  readonly programs: readonly ProgramOutcome[];
  readonly promptTokens: number;
  /** Prompt tokens prefilled again although the program, or its shared beginning, had prefilled them before. */
  readonly wastedTokens: number;
  /** Programs that had not ended when the run ended. */
  readonly unfinished: number;
  /** Programs refused at their first turn, the value they earned and the maximum they could have earned. */
  readonly refused: number;
  readonly refusedEarned: number;
  readonly refusedOwed: number;
}

/** Options of a run. */
export interface ExperimentOptions {
  readonly scenario: Scenario;
  readonly policy: Policy;
  readonly seed: number;
  /** Demand of the programs as a fraction of the engines' capacity. */
  readonly load: number;
  /** Virtual time in which programs arrive, in ms. */
  readonly durationMs: number;
}

/** A program in progress. */
interface RunningProgram {
  readonly id: string;
  readonly plan: ProgramPlan;
  readonly messages: ChatMessage[];
  readonly startMs: number;
  /** Prompt tokens that were already prefilled for the program or its beginning. */
  knownTokens: number;
  attainedMs: number;
  cached: CachedPrefix[];
}

const WARM_UP_FRACTION = 0.15;
const DRAIN_MS = 600_000;
const PLANS_FOR_DEMAND = 400;

/** Runs one scenario under one policy on virtual time. */
export function runExperiment(options: ExperimentOptions, hash: TextHash): ExperimentResult {
  return new Experiment(options, hash).run();
}

class Experiment {
  readonly #options: ExperimentOptions;
  readonly #time = new EventQueue();
  readonly #random: SeededRandomSource;
  readonly #placementRandom: SeededRandomSource;
  readonly #runners: EmulatedRunner[];
  readonly #outcomes: ProgramOutcome[] = [];
  #nextProgram = 0;
  #nextCall = 0;
  #started = 0;
  #promptTokens = 0;
  #wastedTokens = 0;
  #refused = 0;
  #refusedEarned = 0;
  #refusedOwed = 0;

  constructor(options: ExperimentOptions, hash: TextHash) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#placementRandom = new SeededRandomSource(options.seed + 1_000_003);
    const names = Array.from({ length: options.scenario.runners }, (_, index) => `runner-${index}`);
    this.#runners = names.map((name) => new EmulatedRunner(name, options.scenario.engine, this.#time, hash));
  }

  run(): ExperimentResult {
    const { scenario, load, durationMs, seed } = this.#options;
    const meanGapMs = meanDemandMs(scenario, seed) / scenario.runners / load;
    this.#scheduleArrival(meanGapMs);
    this.#time.run(durationMs + DRAIN_MS);
    return {
      programs: this.#outcomes,
      promptTokens: this.#promptTokens,
      wastedTokens: this.#wastedTokens,
      unfinished: this.#started - this.#outcomes.length - this.#refused,
      refused: this.#refused,
      refusedEarned: this.#refusedEarned,
      refusedOwed: this.#refusedOwed,
    };
  }

  /** Schedules the next arrival at random, independently of how earlier programs end (open loop). */
  #scheduleArrival(meanGapMs: number): void {
    const gapMs = -Math.log(1 - this.#random.unit()) * meanGapMs;
    this.#time.after(gapMs, () => {
      if (this.#time.nowMs > this.#options.durationMs) return;
      const plan = this.#options.scenario.draw(this.#random);
      const counted = this.#time.nowMs > this.#options.durationMs * WARM_UP_FRACTION;
      if (counted) this.#started += 1;
      if (this.#options.policy.admits?.(this.#runners) ?? true) {
        this.#start(plan, undefined, (latencyMs) => {
          if (counted) this.#record(plan, latencyMs);
        });
      } else if (counted) this.#refuse(plan);
      this.#scheduleArrival(meanGapMs);
    });
  }

  #refuse({ worth }: ProgramPlan): void {
    this.#refused += 1;
    this.#refusedEarned += worth?.refused ?? 0;
    this.#refusedOwed += worth?.inAim ?? 0;
  }

  #record(plan: ProgramPlan, latencyMs: number): void {
    const missedDeadline = plan.deadlineMs !== undefined && latencyMs > plan.deadlineMs;
    const boundMs = criticalPathMs(plan, this.#options.scenario.engine);
    const earned = earnedValue(plan, latencyMs, boundMs);
    const owed = plan.worth?.inAim ?? 0;
    this.#outcomes.push({ kind: plan.kind, latencyMs, boundMs, missedDeadline, earned, owed });
  }

  #start(plan: ProgramPlan, parent: RunningProgram | undefined, onEnd: (latencyMs: number) => void): void {
    this.#nextProgram += 1;
    const shared = { role: "system", content: textOf(`${plan.beginning} rules`, plan.sharedTokens) };
    const program: RunningProgram = {
      id: `program-${this.#nextProgram}`,
      plan,
      messages: parent ? [...parent.messages] : [shared],
      startMs: this.#time.nowMs,
      knownTokens: parent ? parent.knownTokens : plan.sharedTokens,
      attainedMs: 0,
      cached: parent ? parent.cached : [],
    };
    this.#runTurn(program, 0, () => onEnd(this.#time.nowMs - program.startMs));
  }

  #runTurn(program: RunningProgram, index: number, onEnd: () => void): void {
    const plan = program.plan.turns[index];
    if (!plan) return onEnd();
    this.#nextCall += 1;
    const call = `call-${this.#nextCall}`;
    const directive = `${call} #tokens=${plan.outputTokens}`;
    program.messages.push({ role: "user", content: textOf(directive, plan.newTokens) });
    const promptTokens = tokensOf(program.messages);
    const runner = this.#options.policy.place({
      promptTokens,
      cached: program.cached,
      runners: this.#runners,
      random: this.#placementRandom,
      callIndex: this.#nextCall,
    });
    const request = this.#options.policy.describe({
      call,
      attempt: 1,
      program: program.id,
      tenant: program.plan.tenant,
      priorityClass: program.plan.priorityClass,
      weight: program.plan.weight,
      slackMs: this.#slackMs(program),
      attainedServiceMs: program.attainedMs,
      promptTokens,
      maxTokens: plan.outputTokens,
      patienceMs: Number.MAX_SAFE_INTEGER,
    });
    runner.submit({
      request,
      messages: [...program.messages],
      onDone: ({ usage, length }, serviceMs) => {
        this.#promptTokens += usage.promptTokens;
        this.#wastedTokens += Math.max(
          0,
          Math.min(program.knownTokens, usage.promptTokens) - usage.cachedTokens,
        );
        program.attainedMs += serviceMs;
        program.messages.push({ role: "assistant", content: `answer of ${call} `.padEnd(length, ".") });
        program.knownTokens = usage.promptTokens + usage.completionTokens;
        program.cached = [{ runner: runner.name, tokens: usage.promptTokens }];
        this.#afterTurn(program, plan, index, onEnd);
      },
    });
  }

  #afterTurn(program: RunningProgram, plan: TurnPlan, index: number, onEnd: () => void): void {
    const next = () => {
      const last = index === program.plan.turns.length - 1;
      if (last) onEnd();
      else this.#time.after(plan.pauseMs, () => this.#runTurn(program, index + 1, onEnd));
    };
    let remainingChildren = plan.children.length;
    if (remainingChildren === 0) return next();
    for (const child of plan.children) {
      this.#start(child, program, () => {
        remainingChildren -= 1;
        if (remainingChildren === 0) next();
      });
    }
  }

  #slackMs({ plan, startMs }: RunningProgram): number | undefined {
    return plan.deadlineMs === undefined ? undefined : plan.deadlineMs - (this.#time.nowMs - startMs);
  }
}

/** Returns a text of about `tokens` tokens that ends with `head`. */
function textOf(head: string, tokens: number): string {
  return `${"x".repeat(Math.max(0, tokens * CHARACTERS_PER_TOKEN - head.length))}${head}`;
}

function tokensOf(messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, { content }) => sum + Math.ceil(content.length / CHARACTERS_PER_TOKEN), 0);
}

/** Engine time that a program needs if no cacheable token is prefilled again. */
function demandMs(plan: ProgramPlan, engine: EngineParameters): number {
  const stepMs = engine.stepMs + engine.stepMsPerSequence * engine.slots;
  let sum = 0;
  for (const { newTokens, outputTokens, children } of plan.turns) {
    sum += (outputTokens * stepMs) / engine.slots + newTokens * engine.prefillMsPerToken;
    for (const child of children) sum += demandMs(child, engine);
  }
  return sum;
}

function meanDemandMs(scenario: Scenario, seed: number): number {
  const random = new SeededRandomSource(seed + 77);
  const plans = Array.from({ length: PLANS_FOR_DEMAND }, () => scenario.draw(random));
  return plans.reduce((sum, plan) => sum + demandMs(plan, scenario.engine), 0) / plans.length;
}

/** Duration of a program that has all engines to itself. */
function criticalPathMs({ turns }: ProgramPlan, engine: EngineParameters): number {
  const stepMs = engine.stepMs + engine.stepMsPerSequence;
  let sum = 0;
  for (const [index, { newTokens, outputTokens, pauseMs, children }] of turns.entries()) {
    const last = index === turns.length - 1;
    sum += newTokens * engine.prefillMsPerToken + outputTokens * stepMs + (last ? 0 : pauseMs);
    sum += children.length === 0 ? 0 : Math.max(...children.map((child) => criticalPathMs(child, engine)));
  }
  return sum;
}

/** Value that a program earned: `inAim` within its target time, `late` within twice that, nothing later. */
function earnedValue({ worth }: ProgramPlan, latencyMs: number, boundMs: number): number {
  if (!worth) return 0;
  const aimMs = worth.aim.times * boundMs + worth.aim.addedMs;
  if (latencyMs <= aimMs) return worth.inAim;
  return latencyMs <= 2 * aimMs ? worth.late : 0;
}
