/** What the callers of a tenant get that sends twice its limit: programs of many requests, which are worth something whole. */
import { describe, it } from "node:test";
import { type RateAnswer, RateLedger, RunningWork } from "../../src/coordination/request-rate/index.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";

const LIMIT = { perSecond: 20, burst: 20 };
const TOLERANCE = { windowMs: 5_000, overage: 0, slack: 0 };
/** Time in which programs begin, and in which those that began may end, in ms. */
const BEGINNING_MS = 30_000;
const DAY_MS = 60_000;
/** Requests of short and of long programs, turns and calls of tools together, and the part of long ones. */
const SHORT = 7;
const LONG = 25;
const LONG_PART = 0.3;
/** Time of a request and of the pause after it, in ms. */
const REQUEST_MS = 200;
const PAUSE_MS = 150;
/** A program is in time when it takes at most so many times what it takes alone. */
const AIM = 1.6;
/** A request that is turned away so often has failed, and its program with it. */
const TRIES = 3;

interface Program {
  readonly name: string;
  readonly requests: number;
  readonly begunAtMs: number;
  done: number;
  tries: number;
  nextAtMs: number;
  state: "running" | "failed" | "done";
  endedAtMs: number;
}

function drawPrograms(seed: number, load: number): Program[] {
  const random = new SeededRandomSource(seed);
  const meanRequests = SHORT + LONG_PART * (LONG - SHORT);
  const meanGapMs = (1_000 * meanRequests) / (LIMIT.perSecond * load);
  const programs: Program[] = [];
  for (let atMs = 0; atMs < BEGINNING_MS; atMs += -Math.log(1 - random.unit()) * meanGapMs) {
    const requests = random.unit() < LONG_PART ? LONG : SHORT;
    const name = `program-${programs.length}`;
    programs.push({
      name,
      requests,
      begunAtMs: atMs,
      done: 0,
      tries: 0,
      nextAtMs: atMs,
      state: "running",
      endedAtMs: 0,
    });
  }
  return programs;
}

/** Plays a day; returns the part of the limit that went into programs that ended in time. */
function usedWell(seed: number, load: number, ask: (program: Program, nowMs: number) => RateAnswer): number {
  const programs = drawPrograms(seed, load);
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += 1)
    for (const program of programs)
      if (program.state === "running" && program.nextAtMs <= nowMs) step(program, ask(program, nowMs), nowMs);
  const inTime = programs.filter(isInTime).reduce((sum, { requests }) => sum + requests, 0);
  const possible = Math.min(
    programs.reduce((sum, { requests }) => sum + requests, 0),
    (LIMIT.perSecond * BEGINNING_MS) / 1_000 + LIMIT.burst,
  );
  return inTime / possible;
}

function step(program: Program, { granted, retryAfterMs }: RateAnswer, nowMs: number): void {
  if (granted === 1) {
    program.done += 1;
    program.tries = 0;
    program.nextAtMs = nowMs + REQUEST_MS + PAUSE_MS;
    if (program.done < program.requests) return;
    program.state = "done";
    program.endedAtMs = nowMs + REQUEST_MS;
    return;
  }
  program.tries += 1;
  program.nextAtMs = nowMs + Math.max(1, retryAfterMs);
  if (program.tries === TRIES) program.state = "failed";
}

function isInTime({ state, requests, begunAtMs, endedAtMs }: Program): boolean {
  return state === "done" && endedAtMs - begunAtMs <= AIM * requests * (REQUEST_MS + PAUSE_MS);
}

/** Asks as owners of limits do. */
function knowingWork(): (program: Program, nowMs: number) => RateAnswer {
  const ledger = new RateLedger(TOLERANCE, RateLedger.first());
  const work = new RunningWork();
  return ({ name }, nowMs) => {
    const begins = !work.has(name, nowMs);
    const answer = ledger.take(
      { subject: "tenant", wanted: 1, begins, limit: LIMIT, limitVersion: 1 },
      1,
      nowMs,
    );
    if (answer.granted === 1 || !begins) work.note(name, nowMs);
    return answer;
  };
}

/** Asks as if every request stood alone. */
function knowingNothing(): (program: Program, nowMs: number) => RateAnswer {
  const ledger = new RateLedger(TOLERANCE, RateLedger.first());
  return (_, nowMs) =>
    ledger.take({ subject: "tenant", wanted: 1, begins: false, limit: LIMIT, limitVersion: 1 }, 1, nowMs);
}

describe("a tenant that sends more than its limit", () => {
  for (const load of [0.6, 0.9, 1.2, 2, 4])
    it(`loses little of it when programs that have begun go first, at ${load} times the limit`, () => {
      for (const seed of [1, 2, 3]) {
        const alone = usedWell(seed, load, knowingNothing());
        const known = usedWell(seed, load, knowingWork());
        console.log(load, seed, alone.toFixed(3), known.toFixed(3));
      }
    });
});
