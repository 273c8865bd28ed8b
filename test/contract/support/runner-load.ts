/** Programs of some turns each, at runners of different speed, with choices by boards that tell each other of them. */
import { createClock } from "@sinonjs/fake-timers";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { NodeReport } from "../../../src/scheduling/runner-balancing/load-report.ts";
import { RunnerBoard } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerCost } from "../../../src/scheduling/runner-balancing/runner-cost-model.ts";
import { runnerEntry } from "./runner-entry.ts";

const HEARTBEAT_MS = 500;
const PATIENCE_MS = 60_000;
const PROMPT_TOKENS = 800;
const PROMPT_TOKENS_PER_MS = 80;
/** Before the first piece of a stream, in ms. */
const FIRST_MS = 20;
/** Steps in a full batch take so much longer. */
const BATCH_PART = 0.2;
/** Between the calls of a program, in ms. */
const PAUSE_MS = 30;
const SLOTS = 8;
const ZONES = ["z1", "z2", "z3"];

/** One call. */
export interface Work {
  readonly kind: string;
  /** Pieces of a stream; 1 for an answer that is one step. */
  readonly steps: number;
  /** Time of a step at a runner of usual speed with nothing else to do. */
  readonly stepMs: number;
}

/** What is played. */
export interface Load {
  readonly gateways: number;
  readonly runners: number;
  readonly programsPerS: number;
  readonly lengthMs: number;
  readonly newWork: (random: SeededRandomSource) => Work;
  /** How many times the usual a step takes at a runner, at a moment. */
  slowness(runner: number, nowMs: number): number;
  /** What reaches others of a gateway's report. */
  tell(gateway: number, report: NodeReport): NodeReport;
  readonly newCost: () => RunnerCost;
}

/** How long turns took, in ms. */
export interface TurnTimes {
  readonly mean: number;
  readonly p95: number;
}

interface Runner {
  running: number;
  readonly waiting: (() => void)[];
}

/** Plays a load; the same each time. */
export function playLoad(load: Load): TurnTimes {
  const clock = createClock(0);
  const random = new SeededRandomSource(7);
  const boards = Array.from({ length: load.gateways }, () => new RunnerBoard(load.newCost()));
  const runners: Runner[] = Array.from({ length: load.runners }, () => ({ running: 0, waiting: [] }));
  const times: number[] = [];
  const zoneOf = (index: number) => ZONES[index % ZONES.length] as string;
  for (const board of boards)
    for (const index of runners.keys()) {
      const id = String(index) as RunnerId;
      board.upsert(runnerEntry(id, { zone: zoneOf(index), slots: SLOTS }));
    }

  function turn(left: number, preferred: RunnerId | undefined): void {
    if (left === 0) return;
    const work = load.newWork(random);
    const { kind, steps } = work;
    const isStream = steps > 1;
    const promptTokens = isStream ? PROMPT_TOKENS : undefined;
    const gateway = random.below(boards.length);
    const board = boards[gateway] as RunnerBoard;
    const choice = { pool: "p", zone: zoneOf(gateway), excluded: new Set<RunnerId>(), preferred };
    const details = { promptTokens, nowMs: clock.now, sample: random.unit() };
    const id = board.choose({ ...choice, ...details })?.id as RunnerId;
    const wasCached = id === preferred;
    const sentMs = clock.now;
    const before = board.load(id);
    const pending = board.started(id, sentMs, PATIENCE_MS);
    const runner = runners[Number(id)] as Runner;
    const run = () => {
      runner.running += 1;
      const stepMs = work.stepMs * (isStream ? 1 + (BATCH_PART * runner.running) / SLOTS : 1);
      const readMs = (wasCached ? 0 : PROMPT_TOKENS / PROMPT_TOKENS_PER_MS) + FIRST_MS;
      const firstMs = isStream ? readMs : work.stepMs;
      const firstAtMs = clock.now + firstMs * load.slowness(Number(id), clock.now);
      let endMs = firstAtMs;
      for (let step = 1; step < steps; step += 1) endMs += stepMs * load.slowness(Number(id), endMs);
      clock.setTimeout(() => {
        runner.running -= 1;
        runner.waiting.shift()?.();
        const nowMs = clock.now;
        board.ended(pending, "success", nowMs);
        const workMs = nowMs - (isStream ? firstAtMs : sentMs);
        const seen = { work: kind, steps, workMs, firstMs: firstAtMs - sentMs };
        board.timed(id, { ...seen, promptTokens, wasCached, load: before }, nowMs);
        times.push(nowMs - sentMs);
        clock.setTimeout(() => turn(left - 1, isStream ? id : undefined), PAUSE_MS);
      }, endMs - clock.now);
    };
    if (runner.running < SLOTS) run();
    else runner.waiting.push(run);
  }

  function arrive(): void {
    turn(3 + random.below(5), undefined);
    clock.setTimeout(arrive, (-Math.log(1 - random.unit()) * 1_000) / load.programsPerS);
  }

  for (const [index, board] of boards.entries())
    clock.setInterval(() => {
      const report = load.tell(index, board.ownReport(clock.now));
      for (const other of boards) if (other !== board) other.report(String(index), report, clock.now);
    }, HEARTBEAT_MS);
  arrive();
  clock.tick(load.lengthMs);
  times.sort((left, right) => left - right);
  const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
  return { mean: Math.round(mean), p95: Math.round(times[Math.floor(times.length * 0.95)] ?? 0) };
}
