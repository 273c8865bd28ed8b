/** Programs that compete for the places of a few runners, on time that passes in steps of a ms. */
import type { ProgramId } from "../../../src/scheduling/ids/program-id.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { TenantName } from "../../../src/scheduling/ids/tenant-name.ts";
import {
  type PlaceCall,
  type PlaceDecision,
  PlaceDispatcher,
  RunnerGroup,
} from "../../../src/scheduling/place-queue/index.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import { runnerEntry } from "./runner-entry.ts";

export const RUNNERS = 8;
export const SLOTS = 6;
export const TURN_MS = 250;
const PAUSE_MS = 50;
const TURN_DEADLINE_MS = 3_000;
const TRIES = 3;

/** Runners that are alike, without calls of others. */
export class FakeGroup extends RunnerGroup {
  readonly entries: RunnerEntry[] = [];
  readonly unplacedAt = new Map<RunnerId, number>();
  readonly loadAt = new Map<RunnerId, number>();
  override memoryTokens: number | undefined;
  usual: number | undefined;

  constructor(runners = RUNNERS, slots = SLOTS) {
    super();
    for (let index = 0; index < runners; index += 1) this.entries.push(runnerEntry(`r${index}`, { slots }));
  }

  override runners(): readonly RunnerEntry[] {
    return this.entries;
  }

  override unplaced(runner: RunnerId): number {
    return this.unplacedAt.get(runner) ?? 0;
  }

  override load(runner: RunnerId): number {
    return this.loadAt.get(runner) ?? 0;
  }

  override usualMs(): number | undefined {
    return this.usual;
  }

  override choose(
    call: PlaceCall,
    _: number,
    mayTake: (runner: RunnerEntry) => boolean,
  ): RunnerEntry | undefined {
    const able = this.entries.filter(mayTake);
    return able.find(({ id }) => id === call.preferred) ?? able[0];
  }
}

/** Programs of one kind that begin in a run. */
export interface Demand {
  readonly tenant: string;
  readonly perSecond: number;
  readonly fromMs?: number;
  readonly untilMs?: number;
  readonly rank?: number;
  readonly turns: number;
  /** Lines of two turns that run side by side after the first turn. */
  readonly subAgents?: number;
}

/** What became of programs. */
export interface Fates {
  inTime: number;
  late: number;
  refused: number;
  failed: number;
}

interface Program {
  readonly demand: Demand;
  readonly id: string;
  readonly dueAtMs: number;
  hasBegun: boolean;
  isOver: boolean;
  openLines: number;
}

interface Turn {
  readonly program: Program;
  readonly left: number;
  readonly triesLeft: number;
  readonly deadlineAtMs: number;
  isOver: boolean;
}

/** Decides who gets a place; answers at once or later. */
interface Policy {
  ask(turn: Turn, nowMs: number): void;
  giveBack(turn: Turn, heldMs: number, nowMs: number): void;
  tick(nowMs: number): void;
}

/** See the module's comment. */
export class PlaceLoad {
  readonly fates = new Map<string, Fates>();
  readonly waitsMs: number[] = [];
  /** Longest number of calls that waited at once. */
  mostWaiting = 0;
  readonly #agenda = new Map<number, (() => void)[]>();
  readonly #holdMs: (nowMs: number) => number;
  readonly #policy: Policy;
  #nowMs = 0;
  #count = 0;

  constructor(dispatched: boolean, holdMs: (nowMs: number) => number = () => TURN_MS) {
    this.#holdMs = holdMs;
    this.#policy = dispatched ? new Dispatched(this) : new FirstCome(this);
  }

  run(demands: readonly Demand[], lengthMs: number): void {
    for (const demand of demands) this.#spread(demand, lengthMs);
    for (this.#nowMs = 0; this.#nowMs < lengthMs + 10_000; this.#nowMs += 1) {
      for (const action of this.#agenda.get(this.#nowMs) ?? []) action();
      this.#agenda.delete(this.#nowMs);
      this.#policy.tick(this.#nowMs);
    }
  }

  /** Share of the tenants' programs with such a fate. */
  share(fate: keyof Fates, isMeant: (tenant: string) => boolean = () => true): number {
    let meant = 0;
    let all = 0;
    for (const [tenant, fates] of this.fates) {
      if (!isMeant(tenant)) continue;
      meant += fates[fate];
      all += fates.inTime + fates.late + fates.refused + fates.failed;
    }
    return meant / Math.max(1, all);
  }

  granted(turn: Turn, waitedMs: number): void {
    this.waitsMs.push(waitedMs);
    turn.program.hasBegun = true;
    const holdMs = this.#holdMs(this.#nowMs);
    this.#in(holdMs, () => {
      this.#policy.giveBack(turn, holdMs, this.#nowMs);
      if (turn.isOver) return;
      turn.isOver = true;
      this.#onTurnOver(turn);
    });
    this.#in(turn.deadlineAtMs - this.#nowMs, () => this.#again(turn, 100));
  }

  refused(turn: Turn, retryAfterMs: number): void {
    this.#again(turn, retryAfterMs);
  }

  #again(turn: Turn, afterMs: number): void {
    if (turn.isOver) return;
    turn.isOver = true;
    const { program, left, triesLeft } = turn;
    if (triesLeft <= 1) return this.#end(program, program.hasBegun ? "failed" : "refused");
    this.#in(Math.max(1, afterMs), () => this.#ask(program, left, triesLeft - 1));
  }

  #onTurnOver({ program, left }: Turn): void {
    if (program.isOver) return;
    const { turns, subAgents = 0 } = program.demand;
    if (left === turns && subAgents > 0) {
      program.openLines = subAgents;
      for (let index = 0; index < subAgents; index += 1)
        this.#in(PAUSE_MS, () => this.#ask(program, -2, TRIES));
    } else if (left < -1) this.#in(PAUSE_MS, () => this.#ask(program, left + 1, TRIES));
    else if (left === -1) {
      program.openLines -= 1;
      if (program.openLines === 0) this.#in(PAUSE_MS, () => this.#ask(program, turns - 1, TRIES));
    } else if (left > 1) this.#in(PAUSE_MS, () => this.#ask(program, left - 1, TRIES));
    else this.#end(program, this.#nowMs <= program.dueAtMs ? "inTime" : "late");
  }

  #end(program: Program, fate: keyof Fates): void {
    if (program.isOver) return;
    program.isOver = true;
    const { tenant } = program.demand;
    const fates = this.fates.get(tenant) ?? { inTime: 0, late: 0, refused: 0, failed: 0 };
    this.fates.set(tenant, fates);
    fates[fate] += 1;
  }

  #ask(program: Program, left: number, triesLeft: number): void {
    if (program.isOver) return;
    const turn = { program, left, triesLeft, deadlineAtMs: this.#nowMs + TURN_DEADLINE_MS, isOver: false };
    this.#policy.ask(turn, this.#nowMs);
  }

  #spread(demand: Demand, lengthMs: number): void {
    const { perSecond, fromMs = 0, untilMs = lengthMs, turns, subAgents = 0 } = demand;
    const stepMs = 1_000 / perSecond;
    const idleMs = (turns + (subAgents > 0 ? 2 : 0)) * (TURN_MS + PAUSE_MS);
    // Tenants do not begin together: each has its place within a step.
    for (let atMs = fromMs + (stepMs * (this.#count % 17)) / 17; atMs < untilMs; atMs += stepMs)
      this.#in(Math.floor(atMs), () => {
        this.#count += 1;
        const dueAtMs = this.#nowMs + 1.4 * idleMs + 250;
        const id = `p${this.#count}`;
        const program = { demand, id, dueAtMs, hasBegun: false, isOver: false, openLines: 0 };
        this.#ask(program, turns, TRIES);
      });
    this.#count += 1;
  }

  #in(delayMs: number, action: () => void): void {
    const atMs = Math.ceil(this.#nowMs + delayMs);
    const actions = this.#agenda.get(atMs);
    if (actions) actions.push(action);
    else this.#agenda.set(atMs, [action]);
  }
}

/** Runners take calls in the order of their arrival, and turn away what is beyond as many again as they work on. */
class FirstCome implements Policy {
  readonly #load: PlaceLoad;
  readonly #queue: { turn: Turn; arrivedMs: number }[] = [];
  #taken = 0;

  constructor(load: PlaceLoad) {
    this.#load = load;
  }

  ask(turn: Turn, nowMs: number): void {
    if (this.#queue.length >= RUNNERS * SLOTS) this.#load.refused(turn, 150);
    else this.#queue.push({ turn, arrivedMs: nowMs });
  }

  giveBack(): void {
    this.#taken -= 1;
  }

  tick(nowMs: number): void {
    while (this.#taken < RUNNERS * SLOTS) {
      const next = this.#queue.shift();
      if (!next) return;
      if (next.turn.isOver) continue;
      this.#taken += 1;
      this.#load.granted(next.turn, nowMs - next.arrivedMs);
    }
  }
}

class Dispatched implements Policy {
  readonly #load: PlaceLoad;
  readonly #turns = new Map<number, Turn>();
  readonly #leases = new Map<Turn, number>();
  readonly #dispatcher = new PlaceDispatcher({
    group: new FakeGroup(),
    weightOf: () => 1,
    firstLease: 1,
    learningMs: 1_000,
  });
  #asked = 0;

  constructor(load: PlaceLoad) {
    this.#load = load;
  }

  ask(turn: Turn, nowMs: number): void {
    const { program, deadlineAtMs } = turn;
    this.#asked += 1;
    const call: PlaceCall = {
      request: `q${this.#asked}` as RequestId,
      route: "turn",
      tenant: program.demand.tenant as TenantName,
      program: program.id as ProgramId,
      rank: program.demand.rank ?? 0,
      hasBegun: program.hasBegun,
      dueInMs: program.dueAtMs - nowMs,
      patienceMs: Math.min(1_500, deadlineAtMs - nowMs),
      tokens: 0,
      preferred: undefined,
      excluded: [],
    };
    this.#take(turn, this.#dispatcher.ask(call, "gateway", nowMs));
  }

  giveBack(turn: Turn, heldMs: number, nowMs: number): void {
    const lease = this.#leases.get(turn);
    this.#leases.delete(turn);
    if (lease !== undefined) this.#dispatcher.giveBack({ lease, heldMs, turnedAway: false }, nowMs);
  }

  tick(nowMs: number): void {
    this.#load.mostWaiting = Math.max(this.#load.mostWaiting, this.#dispatcher.waiting);
    this.#dispatcher.endLeases(nowMs);
    for (const { lease, decision } of this.#dispatcher.settle(nowMs)) {
      const turn = this.#turns.get(lease);
      this.#turns.delete(lease);
      if (turn) this.#take(turn, decision);
    }
  }

  #take(turn: Turn, decision: PlaceDecision): void {
    if (decision.type === "refused") return this.#load.refused(turn, decision.retryAfterMs);
    if (decision.type === "queued") {
      this.#turns.set(decision.lease, turn);
      return;
    }
    this.#leases.set(turn, decision.lease);
    this.#load.granted(turn, decision.waitedMs);
  }
}
