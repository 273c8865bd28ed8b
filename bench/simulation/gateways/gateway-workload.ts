/** Programs that take turns through random gateways, and what their callers observe. */

import type { EndTurnRequest } from "../../../src/gateway/gateway-messages.ts";
import type { ProgramId } from "../../../src/scheduling/ids/program-id.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { GatewayWorld } from "./gateway-world.ts";
import type { SimulatedGateway } from "./simulated-gateway.ts";

/** What callers observed of one program. */
export interface ProgramObservation {
  readonly name: ProgramId;
  readonly budget: number;
  /** Tokens that callers received, including those of turns that were interrupted. */
  delivered: number;
  /** The same, but a turn that was not completed counts with its maximum. */
  charged: number;
}

/** A turn whose answer was completed. */
export interface CompletedTurn {
  readonly turn: RequestId;
  /** All inputs and outputs up to the end of the turn. */
  readonly transcript: string;
  /** The turn that it continues. */
  readonly previous: CompletedTurn | undefined;
  /** Virtual time at the end of the turn. */
  readonly endedAtMs: number;
}

/** The results of a simulation. */
export interface GatewayObservations {
  readonly programs: ProgramObservation[];
  readonly completedTurns: CompletedTurn[];
  /** Violated guarantees. */
  readonly broken: string[];
  granted: number;
  exhausted: number;
  /** Programs refused as exhausted although, by their callers' count, the budget allowed one more turn. */
  exhaustedEarly: number;
  unavailable: number;
  /** Unavailable turns by reason. */
  readonly unavailableFor: Map<string, number>;
  /** Number of times that a partition's owner changed. */
  ownerChanges: number;
  /** Description of the last unavailable turn. */
  lastUnavailable: string;
}

/** Maximum number of tokens that a turn may generate. */
export const MAX_TURN_TOKENS = 100;
const BUDGET_TURNS = 6;
const MAX_TURN_MS = 300;
const PATIENCE_MS = 1_500;
const RETRY_MS = 300;
/** One in this many turns continues a turn of another program. */
const FOREIGN_TURN_INTERVAL = 12;

/**
 * Runs one program after another until `untilMs`. Each takes turns until its budget is exhausted, with a pause of up to
 * `maxPauseMs` between them.
 */
export async function runPrograms(
  world: GatewayWorld,
  observations: GatewayObservations,
  untilMs: number,
  maxPauseMs: number,
): Promise<void> {
  while (world.time.nowMs < untilMs) {
    const name = `program-${observations.programs.length}` as ProgramId;
    const program = { name, budget: MAX_TURN_TOKENS * BUDGET_TURNS, delivered: 0, charged: 0 };
    observations.programs.push(program);
    await runProgram(world, observations, program, untilMs, maxPauseMs);
  }
}

async function runProgram(
  world: GatewayWorld,
  observations: GatewayObservations,
  program: ProgramObservation,
  untilMs: number,
  maxPauseMs: number,
): Promise<void> {
  let last: CompletedTurn | undefined;
  for (let count = 0; world.time.nowMs < untilMs; count += 1) {
    const { completedTurns } = observations;
    if (count % FOREIGN_TURN_INTERVAL === 1 && completedTurns.length > 0)
      last = completedTurns[world.random.below(completedTurns.length)];
    const outcome = await takeTurn(
      world,
      observations,
      program,
      `${program.name}/${count}` as RequestId,
      last,
    );
    if (outcome === "exhausted") return;
    if (outcome !== "failed") last = outcome;
    else await pause(world, RETRY_MS);
    if (maxPauseMs > 0) await pause(world, world.random.unit() * maxPauseMs);
  }
}

async function takeTurn(
  world: GatewayWorld,
  observations: GatewayObservations,
  program: ProgramObservation,
  turn: RequestId,
  last: CompletedTurn | undefined,
): Promise<CompletedTurn | "exhausted" | "failed"> {
  const gateway = world.drawServing();
  if (!gateway) return "failed";
  const budget = { tokens: program.budget, most: MAX_TURN_TOKENS };
  const partition = gateway.client.partitionOf(program.name);
  const context = { partition, program: program.name, session: "main", turn, budget };
  const history = { previousTurn: last?.turn };
  const untilMs = gateway.process.monotonicMs() + PATIENCE_MS;
  const asked = gateway.client.admit({ ...context, history }, untilMs, () => false);
  const answer = await unlessKilled(gateway, world, asked);
  if (!answer) return "failed";
  if (answer.type === "exhausted") {
    observations.exhausted += 1;
    if (program.charged + MAX_TURN_TOKENS <= program.budget) observations.exhaustedEarly += 1;
    return "exhausted";
  }
  if (answer.type === "noSuchTurn") {
    observations.broken.push(`history: ${history.previousTurn} was completed, and is missing`);
    return "failed";
  }
  if (answer.type === "unavailable") {
    observations.unavailable += 1;
    const { unavailableFor } = observations;
    unavailableFor.set(answer.detail, (unavailableFor.get(answer.detail) ?? 0) + 1);
    // A gateway does the same when a call is over.
    void gateway.client.end({ ...context, tokens: 0, runner: undefined, retained: undefined });
    observations.lastUnavailable = `${world.time.nowMs} ms, partition ${partition} at ${gateway.process.name}: ${answer.detail}`;
    return "failed";
  }
  observations.granted += 1;
  program.charged += MAX_TURN_TOKENS;
  const said = Buffer.concat(answer.history).toString();
  if (said !== (last?.transcript ?? "")) observations.broken.push(`history: ${turn} got a wrong history`);
  await pause(world, world.random.unit() * MAX_TURN_MS);
  const tokens = world.random.below(MAX_TURN_TOKENS + 1);
  program.delivered += tokens;
  const retained = {
    previousTurn: last?.turn,
    input: Buffer.from(`[${turn}]`),
    output: Buffer.from(`(${tokens})`),
    tokens,
  };
  const request: EndTurnRequest = { ...context, tokens, runner: undefined, retained: undefined };
  const isKept = await unlessKilled(gateway, world, gateway.client.storeTurn(turn, retained, PATIENCE_MS));
  if (!isKept) {
    void gateway.client.end(request);
    return "failed";
  }
  await unlessKilled(gateway, world, gateway.client.endRetained({ ...request, retained }));
  if (!gateway.process.alive) return "failed";
  const whole = {
    turn,
    previous: last,
    transcript: `${said}[${turn}](${tokens})`,
    endedAtMs: world.time.nowMs,
  };
  program.charged -= MAX_TURN_TOKENS - tokens;
  observations.completedTurns.push(whole);
  return whole;
}

/** Resolves to the answer, or to undefined if the gateway's process is killed first. */
function unlessKilled<Answer>(
  gateway: SimulatedGateway,
  world: GatewayWorld,
  asked: Promise<Answer>,
): Promise<Answer | undefined> {
  return new Promise((resolve) => {
    void asked.then(resolve);
    const look = () => {
      if (!gateway.process.alive) resolve(undefined);
      else world.time.after(RETRY_MS, look);
    };
    world.time.after(RETRY_MS, look);
  });
}

function pause(world: GatewayWorld, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    world.time.after(delayMs, resolve);
  });
}
