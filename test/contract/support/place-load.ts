/** Simulates programs that compete for the places of a few runners, on virtual time in steps of one ms. */
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
const TURN_GAP_MS = 50;
const TURN_DEADLINE_MS = 3_000;
const MAX_TRIES = 3;

/** Identical runners, by default without requests that others placed. */
export class FakeRunnerGroup extends RunnerGroup {
  readonly entries: RunnerEntry[] = [];
  readonly undispatchedByRunner = new Map<RunnerId, number>();
  readonly loadByRunner = new Map<RunnerId, number>();
  override memoryTokens: number | undefined;
  averageMs: number | undefined;

  constructor(runners = RUNNERS, slots = SLOTS) {
    super();
    for (let index = 0; index < runners; index += 1) this.entries.push(runnerEntry(`r${index}`, { slots }));
  }

  override runners(): readonly RunnerEntry[] {
    return this.entries;
  }

  override undispatched(runner: RunnerId): number {
    return this.undispatchedByRunner.get(runner) ?? 0;
  }

  override load(runner: RunnerId): number {
    return this.loadByRunner.get(runner) ?? 0;
  }

  override averageCallMs(): number | undefined {
    return this.averageMs;
  }

  override choose(
    call: PlaceCall,
    _: number,
    mayTake: (runner: RunnerEntry) => boolean,
  ): RunnerEntry | undefined {
    const eligible = this.entries.filter(mayTake);
    return eligible.find(({ id }) => id === call.preferred) ?? eligible[0];
  }
}

/** Programs of one kind that start during a run. */
export interface Demand {
  readonly tenant: string;
  readonly perSecond: number;
  readonly fromMs?: number;
  readonly untilMs?: number;
  readonly rank?: number;
  readonly turns: number;
  /** Sub-agents that start together after the first turn, with two turns each. */
  readonly subAgents?: number;
}

/** Numbers of programs by their outcome. */
export interface OutcomeCounts {
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
  runningSubAgents: number;
}

interface Turn {
  readonly program: Program;
  /** Of the program, including this turn; negative for the turns of a sub-agent. */
  readonly turnsLeft: number;
  readonly triesLeft: number;
  readonly deadlineAtMs: number;
  isOver: boolean;
}

/** Decides which turn gets a place; answers at once or later. */
interface Policy {
  requestPlace(turn: Turn, nowMs: number): void;
  release(turn: Turn, heldMs: number, nowMs: number): void;
  tick(nowMs: number): void;
}

/** Runs programs against one policy and counts their outcomes. */
export class PlaceLoadSimulation {
  readonly outcomes = new Map<string, OutcomeCounts>();
  readonly waitsMs: number[] = [];
  /** Most calls that waited at the same time. */
  maxWaiting = 0;
  readonly #actionsByTime = new Map<number, (() => void)[]>();
  readonly #holdingMsAt: (nowMs: number) => number;
  readonly #policy: Policy;
  #nowMs = 0;
  #sequence = 0;

  constructor(isDispatched: boolean, holdingMsAt: (nowMs: number) => number = () => TURN_MS) {
    this.#holdingMsAt = holdingMsAt;
    this.#policy = isDispatched ? new DispatchedPlaces(this) : new FirstComeFirstServed(this);
  }

  run(demands: readonly Demand[], durationMs: number): void {
    for (const demand of demands) this.#scheduleArrivals(demand, durationMs);
    for (this.#nowMs = 0; this.#nowMs < durationMs + 10_000; this.#nowMs += 1) {
      for (const action of this.#actionsByTime.get(this.#nowMs) ?? []) action();
      this.#actionsByTime.delete(this.#nowMs);
      this.#policy.tick(this.#nowMs);
    }
  }

  /** Share of the matching tenants' programs that had this outcome. */
  share(outcome: keyof OutcomeCounts, matches: (tenant: string) => boolean = () => true): number {
    let matching = 0;
    let all = 0;
    for (const [tenant, counts] of this.outcomes) {
      if (!matches(tenant)) continue;
      matching += counts[outcome];
      all += counts.inTime + counts.late + counts.refused + counts.failed;
    }
    return matching / Math.max(1, all);
  }

  granted(turn: Turn, waitedMs: number): void {
    this.waitsMs.push(waitedMs);
    turn.program.hasBegun = true;
    const holdingMs = this.#holdingMsAt(this.#nowMs);
    this.#schedule(holdingMs, () => {
      this.#policy.release(turn, holdingMs, this.#nowMs);
      if (turn.isOver) return;
      turn.isOver = true;
      this.#onTurnOver(turn);
    });
    this.#schedule(turn.deadlineAtMs - this.#nowMs, () => this.#retry(turn, 100));
  }

  refused(turn: Turn, retryAfterMs: number): void {
    this.#retry(turn, retryAfterMs);
  }

  #retry(turn: Turn, delayMs: number): void {
    if (turn.isOver) return;
    turn.isOver = true;
    const { program, turnsLeft, triesLeft } = turn;
    if (triesLeft <= 1) return this.#endProgram(program, program.hasBegun ? "failed" : "refused");
    this.#schedule(Math.max(1, delayMs), () => this.#requestPlace(program, turnsLeft, triesLeft - 1));
  }

  #onTurnOver({ program, turnsLeft }: Turn): void {
    if (program.isOver) return;
    const { turns, subAgents = 0 } = program.demand;
    if (turnsLeft === turns && subAgents > 0) {
      program.runningSubAgents = subAgents;
      for (let index = 0; index < subAgents; index += 1)
        this.#schedule(TURN_GAP_MS, () => this.#requestPlace(program, -2, MAX_TRIES));
    } else if (turnsLeft < -1)
      this.#schedule(TURN_GAP_MS, () => this.#requestPlace(program, turnsLeft + 1, MAX_TRIES));
    else if (turnsLeft === -1) {
      program.runningSubAgents -= 1;
      if (program.runningSubAgents === 0)
        this.#schedule(TURN_GAP_MS, () => this.#requestPlace(program, turns - 1, MAX_TRIES));
    } else if (turnsLeft > 1)
      this.#schedule(TURN_GAP_MS, () => this.#requestPlace(program, turnsLeft - 1, MAX_TRIES));
    else this.#endProgram(program, this.#nowMs <= program.dueAtMs ? "inTime" : "late");
  }

  #endProgram(program: Program, outcome: keyof OutcomeCounts): void {
    if (program.isOver) return;
    program.isOver = true;
    const { tenant } = program.demand;
    const counts = this.outcomes.get(tenant) ?? { inTime: 0, late: 0, refused: 0, failed: 0 };
    this.outcomes.set(tenant, counts);
    counts[outcome] += 1;
  }

  #requestPlace(program: Program, turnsLeft: number, triesLeft: number): void {
    if (program.isOver) return;
    const turn = {
      program,
      turnsLeft,
      triesLeft,
      deadlineAtMs: this.#nowMs + TURN_DEADLINE_MS,
      isOver: false,
    };
    this.#policy.requestPlace(turn, this.#nowMs);
  }

  #scheduleArrivals(demand: Demand, durationMs: number): void {
    const { perSecond, fromMs = 0, untilMs = durationMs, turns, subAgents = 0 } = demand;
    const intervalMs = 1_000 / perSecond;
    const unloadedMs = (turns + (subAgents > 0 ? 2 : 0)) * (TURN_MS + TURN_GAP_MS);
    // Tenants do not start together: each has its own offset within an interval.
    for (let atMs = fromMs + (intervalMs * (this.#sequence % 17)) / 17; atMs < untilMs; atMs += intervalMs)
      this.#schedule(Math.floor(atMs), () => {
        this.#sequence += 1;
        const dueAtMs = this.#nowMs + 1.4 * unloadedMs + 250;
        const id = `p${this.#sequence}`;
        const program = { demand, id, dueAtMs, hasBegun: false, isOver: false, runningSubAgents: 0 };
        this.#requestPlace(program, turns, MAX_TRIES);
      });
    this.#sequence += 1;
  }

  #schedule(delayMs: number, action: () => void): void {
    const atMs = Math.ceil(this.#nowMs + delayMs);
    const actions = this.#actionsByTime.get(atMs);
    if (actions) actions.push(action);
    else this.#actionsByTime.set(atMs, [action]);
  }
}

/** Runners serve calls in order of arrival. They queue as many calls as they have slots, and reject the rest. */
class FirstComeFirstServed implements Policy {
  readonly #simulation: PlaceLoadSimulation;
  readonly #queue: { turn: Turn; arrivedAtMs: number }[] = [];
  #takenPlaces = 0;

  constructor(simulation: PlaceLoadSimulation) {
    this.#simulation = simulation;
  }

  requestPlace(turn: Turn, nowMs: number): void {
    if (this.#queue.length >= RUNNERS * SLOTS) this.#simulation.refused(turn, 150);
    else this.#queue.push({ turn, arrivedAtMs: nowMs });
  }

  release(): void {
    this.#takenPlaces -= 1;
  }

  tick(nowMs: number): void {
    while (this.#takenPlaces < RUNNERS * SLOTS) {
      const next = this.#queue.shift();
      if (!next) return;
      if (next.turn.isOver) continue;
      this.#takenPlaces += 1;
      this.#simulation.granted(next.turn, nowMs - next.arrivedAtMs);
    }
  }
}

/** Places are granted by a dispatcher. */
class DispatchedPlaces implements Policy {
  readonly #simulation: PlaceLoadSimulation;
  readonly #waitingTurns = new Map<number, Turn>();
  readonly #leaseByTurn = new Map<Turn, number>();
  readonly #dispatcher = new PlaceDispatcher({
    group: new FakeRunnerGroup(),
    weightOf: () => 1,
    firstLease: 1,
    maxReportAgeMs: 1_000,
  });
  #requestCount = 0;

  constructor(simulation: PlaceLoadSimulation) {
    this.#simulation = simulation;
  }

  requestPlace(turn: Turn, nowMs: number): void {
    const { program, deadlineAtMs } = turn;
    this.#requestCount += 1;
    const call: PlaceCall = {
      request: `q${this.#requestCount}` as RequestId,
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
    this.#onDecision(turn, this.#dispatcher.requestPlace(call, "gateway", nowMs));
  }

  release(turn: Turn, heldMs: number, nowMs: number): void {
    const lease = this.#leaseByTurn.get(turn);
    this.#leaseByTurn.delete(turn);
    if (lease !== undefined) this.#dispatcher.release({ lease, heldMs, turnedAway: false }, nowMs);
  }

  tick(nowMs: number): void {
    this.#simulation.maxWaiting = Math.max(this.#simulation.maxWaiting, this.#dispatcher.waiting);
    this.#dispatcher.expireLeases(nowMs);
    for (const { lease, decision } of this.#dispatcher.settle(nowMs)) {
      const turn = this.#waitingTurns.get(lease);
      this.#waitingTurns.delete(lease);
      if (turn) this.#onDecision(turn, decision);
    }
  }

  #onDecision(turn: Turn, decision: PlaceDecision): void {
    if (decision.type === "refused") return this.#simulation.refused(turn, decision.retryAfterMs);
    if (decision.type === "queued") {
      this.#waitingTurns.set(decision.lease, turn);
      return;
    }
    this.#leaseByTurn.set(turn, decision.lease);
    this.#simulation.granted(turn, decision.waitedMs);
  }
}
