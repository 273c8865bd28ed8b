/** Checks that completed turns are still stored after the system has recovered. */
import type { ProgramId } from "../../../src/scheduling/ids/program-id.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import { type CompletedTurn, type GatewayObservations, MAX_TURN_TOKENS } from "./gateway-workload.ts";
import type { GatewayWorld } from "./gateway-world.ts";

/** Maximum age of the turns that are checked, in ms of virtual time. This covers nearly all of a run. */
const RECENT_MS = 30_000;
/** Number of turns checked at the same time. */
const AT_ONCE = 32;
/** A budget of one turn is not enough, because owners that took over hold back a part of each program's budget. */
const BUDGET_TURNS = 6;
const ATTEMPTS = 3;
const PATIENCE_MS = 1_500;
const RETRY_MS = 300;
/** Time limit of the whole check, in ms of virtual time: a missing turn takes up to 5.4 s, so 350 of them fit. */
const CHECK_MS = 60_000;

/**
 * Checks that every recently completed turn can be continued by a new program through any gateway. A turn is stored if
 * the gateway grants the continuation with exactly the expected history. As the history includes all previous turns,
 * only turns without a continuation are checked, and then the turns before a missing one. The reason why a turn is
 * missing does not matter.
 */
export async function checkAnsweredTurns(
  world: GatewayWorld,
  observations: GatewayObservations,
): Promise<void> {
  const { broken, completedTurns } = observations;
  const sinceMs = world.time.nowMs - RECENT_MS;
  const continued = new Set(completedTurns.map(({ previous }) => previous));
  const waiting = completedTurns.filter((turn) => !continued.has(turn));
  const missing = new Set<CompletedTurn>();
  let activeWorkers = AT_ONCE;
  const checkBackFrom = async (from: CompletedTurn) => {
    for (let turn: CompletedTurn | undefined = from; turn; turn = turn.previous) {
      if (turn.endedAtMs < sinceMs || missing.has(turn) || (await isStored(world, turn))) return;
      missing.add(turn);
    }
  };
  const askAll = async () => {
    for (let turn = waiting.pop(); turn; turn = waiting.pop()) await checkBackFrom(turn);
    activeWorkers -= 1;
  };
  for (let asker = 0; asker < AT_ONCE; asker += 1) void askAll();
  await world.time.runUntil(world.time.nowMs + CHECK_MS, () => activeWorkers === 0);
  if (activeWorkers > 0) broken.push("history: not all completed turns could be checked");
  if (missing.size > 0) broken.push(`history: ${missing.size} completed turns are missing`);
}

async function isStored(world: GatewayWorld, { turn, transcript }: CompletedTurn): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const gateway = world.drawServing();
    if (gateway) {
      const program = `after-${turn}-${attempt}` as ProgramId;
      const request = {
        partition: gateway.client.partitionOf(program),
        program,
        session: "main",
        turn: `${program}/0` as RequestId,
        budget: { tokens: MAX_TURN_TOKENS * BUDGET_TURNS, most: MAX_TURN_TOKENS },
        history: { previousTurn: turn },
      };
      const untilMs = gateway.process.monotonicMs() + PATIENCE_MS;
      const answer = await gateway.client.admit(request, untilMs, () => false);
      if (answer.type === "granted") return Buffer.concat(answer.history).toString() === transcript;
    }
    await new Promise<void>((resolve) => {
      world.time.after(RETRY_MS, resolve);
    });
  }
  return false;
}
