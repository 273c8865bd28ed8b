/**
 * Simulates programs of several turns at runners of different speed. Each gateway chooses runners with its own balancer and
 * reports its load and paces to the others.
 */
import { createClock } from "@sinonjs/fake-timers";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { LoadReport } from "../../../src/scheduling/runner-balancing/load-report.ts";
import { RunnerBalancer } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerCostModel } from "../../../src/scheduling/runner-balancing/runner-cost-model.ts";
import { runnerEntry } from "./runner-entry.ts";

const HEARTBEAT_MS = 500;
const PATIENCE_MS = 60_000;
const PROMPT_TOKENS = 800;
const PROMPT_TOKENS_PER_MS = 80;
/** Time until the first chunk of a stream, without prefill, in ms. */
const FIRST_CHUNK_MS = 20;
/** Fraction by which steps take longer in a full batch. */
const FULL_BATCH_SLOWDOWN = 0.2;
/** Time between the calls of a program, in ms. */
const PAUSE_MS = 30;
const SLOTS = 8;
const ZONES = ["z1", "z2", "z3"];

/** One call. */
export interface SimulatedCall {
  readonly kind: string;
  /** Number of chunks of a stream; 1 for an answer that is not streamed. */
  readonly steps: number;
  /** Time of a step at an otherwise idle runner of slowness 1. */
  readonly stepMs: number;
}

/** What is simulated. */
export interface LoadScenario {
  readonly gateways: number;
  readonly runners: number;
  readonly programsPerS: number;
  readonly durationMs: number;
  readonly newCall: (random: SeededRandomSource) => SimulatedCall;
  /** Factor by which a runner is slower than normal at a time. */
  slowness(runner: number, nowMs: number): number;
  /** Returns the report that the other gateways receive, given the report that a gateway sends. */
  deliveredReport(gateway: number, report: LoadReport): LoadReport;
  readonly newCostModel: () => RunnerCostModel;
}

/** Duration of turns, in ms. */
export interface TurnTimes {
  readonly mean: number;
  readonly p95: number;
}

interface Runner {
  running: number;
  readonly waiting: (() => void)[];
}

/** Simulates a scenario; deterministic. */
export function simulateLoad(load: LoadScenario): TurnTimes {
  const clock = createClock(0);
  const random = new SeededRandomSource(7);
  const balancers = Array.from({ length: load.gateways }, () => new RunnerBalancer(load.newCostModel()));
  const runners: Runner[] = Array.from({ length: load.runners }, () => ({ running: 0, waiting: [] }));
  const times: number[] = [];
  const zoneOf = (index: number) => ZONES[index % ZONES.length] as string;
  for (const balancer of balancers)
    for (const index of runners.keys()) {
      const id = String(index) as RunnerId;
      balancer.upsert(runnerEntry(id, { zone: zoneOf(index), slots: SLOTS }));
    }

  function startTurn(turnsLeft: number, preferred: RunnerId | undefined): void {
    if (turnsLeft === 0) return;
    const call = load.newCall(random);
    const { kind, steps } = call;
    const isStream = steps > 1;
    const promptTokens = isStream ? PROMPT_TOKENS : undefined;
    const gateway = random.below(balancers.length);
    const balancer = balancers[gateway] as RunnerBalancer;
    const criteria = { pool: "p", zone: zoneOf(gateway), excluded: new Set<RunnerId>(), preferred };
    const details = { promptTokens, nowMs: clock.now, sample: random.unit() };
    const id = balancer.choose({ ...criteria, ...details })?.id as RunnerId;
    const wasCached = id === preferred;
    const sentMs = clock.now;
    const before = balancer.load(id);
    const pending = balancer.recordStart(id, sentMs, PATIENCE_MS);
    const runner = runners[Number(id)] as Runner;
    const run = () => {
      runner.running += 1;
      const stepMs = call.stepMs * (isStream ? 1 + (FULL_BATCH_SLOWDOWN * runner.running) / SLOTS : 1);
      const prefillMs = (wasCached ? 0 : PROMPT_TOKENS / PROMPT_TOKENS_PER_MS) + FIRST_CHUNK_MS;
      const firstMs = isStream ? prefillMs : call.stepMs;
      const firstAtMs = clock.now + firstMs * load.slowness(Number(id), clock.now);
      let endMs = firstAtMs;
      for (let step = 1; step < steps; step += 1) endMs += stepMs * load.slowness(Number(id), endMs);
      clock.setTimeout(() => {
        runner.running -= 1;
        runner.waiting.shift()?.();
        const nowMs = clock.now;
        balancer.recordEnd(pending, "success", nowMs);
        const workMs = nowMs - (isStream ? firstAtMs : sentMs);
        const timing = { work: kind, steps, workMs, firstChunkMs: firstAtMs - sentMs };
        balancer.recordTiming(id, { ...timing, promptTokens, wasCached, load: before }, nowMs);
        times.push(nowMs - sentMs);
        clock.setTimeout(() => startTurn(turnsLeft - 1, isStream ? id : undefined), PAUSE_MS);
      }, endMs - clock.now);
    };
    if (runner.running < SLOTS) run();
    else runner.waiting.push(run);
  }

  function startProgram(): void {
    startTurn(3 + random.below(5), undefined);
    clock.setTimeout(startProgram, (-Math.log(1 - random.unit()) * 1_000) / load.programsPerS);
  }

  for (const [index, balancer] of balancers.entries())
    clock.setInterval(() => {
      const report = load.deliveredReport(index, balancer.ownReport(clock.now));
      for (const other of balancers)
        if (other !== balancer) other.recordReport(String(index), report, clock.now);
    }, HEARTBEAT_MS);
  startProgram();
  clock.tick(load.durationMs);
  times.sort((left, right) => left - right);
  const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
  return { mean: Math.round(mean), p95: Math.round(times[Math.floor(times.length * 0.95)] ?? 0) };
}
