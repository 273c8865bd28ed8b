/** Checks that completed turns are still retained after the faults, by continuing from them with new programs. */
import { PATHS, pause } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { CompletedTurn, SoakLedger } from "./soak-ledger.ts";
import { soakRequest } from "./soak-request.ts";
import { MAX_TURN_TOKENS, turnHeaders } from "./soak-turn.ts";

/** Maximum number of turns to continue from, in addition to those just before a kill of all gateways: takes seconds. */
const MAX_TURNS = 400;
/** Turns completed within this time before a kill of all gateways are always checked, in ms. */
const BEFORE_KILL_MS = 3_000;
/** Delay, in ms, with which the caller may record an answer that left its gateway before the kill. */
const RECORD_DELAY_MS = 500;
/** Time limit for all tries, in ms. Turns that have not been tried by then are left out. */
const CHECK_TIMEOUT_MS = 20_000;
/** Maximum age of checked turns, in ms: the test's routes retain turns for 60 s, and the tries take part of that. */
const MAX_AGE_MS = 36_000;
/** Budget of each new program, in tokens: one turn, so that any other charge to the new program shows. */
const BUDGET = MAX_TURN_TOKENS;
const TRIES = 5;
const TIMEOUT_MS = 3_000;
const RETRY_DELAY_MS = 1_000;
/** Number of turns tried at a time: as many as the engines have slots. */
const CONCURRENCY = 24;
/** Maximum number of missing turns that a report names. */
const MAX_NAMED = 20;

/** A turn whose full history no runner has received yet, with the statuses of the tries. */
interface MissingTurn {
  readonly turn: CompletedTurn;
  readonly statuses: number[];
}

/** Continues from a selection of the completed turns. Call it once everything must work again. */
export async function checkRetained(cluster: SoakCluster, ledger: SoakLedger): Promise<void> {
  const untilMs = ledger.nowMs + CHECK_TIMEOUT_MS;
  let missing: MissingTurn[] = selectTurns(ledger).map((turn) => ({ turn, statuses: [] }));
  for (let count = 0; count < TRIES && missing.length > 0 && ledger.nowMs < untilMs; count += 1) {
    if (count > 0) await pause(RETRY_DELAY_MS);
    missing = await continueAll(missing, cluster, ledger, untilMs);
  }
  const lost = missing.filter(({ statuses }) => statuses.length > 0);
  if (lost.length === 0) return;
  const named = lost.slice(0, MAX_NAMED).map(({ turn, statuses }) => {
    return `${turn.id} of ${turn.atMs} ms got ${statuses.join(" ")}`;
  });
  ledger.recordBroken(
    "retained turns",
    `${lost.length} turns answered whole are not there: ${named.join(", ")}`,
  );
}

/** Returns all turns just before a kill of all gateways, then a sample of the others, preferring those under faults. */
function selectTurns(ledger: SoakLedger): CompletedTurn[] {
  const kept = ledger.completedTurns.filter(({ atMs }) => ledger.nowMs - atMs <= MAX_AGE_MS);
  const beforeKill = kept.filter((turn) => isJustBeforeKill(turn, ledger));
  const others = kept.filter((turn) => !isJustBeforeKill(turn, ledger));
  const underFaults = sampleEvenly(
    others.filter((turn) => turn.underFaults),
    MAX_TURNS,
  );
  const rest = sampleEvenly(
    others.filter((turn) => !turn.underFaults),
    MAX_TURNS - underFaults.length,
  );
  return [...beforeKill, ...underFaults, ...rest];
}

function isJustBeforeKill({ atMs }: CompletedTurn, { allKilledMs }: SoakLedger): boolean {
  return allKilledMs.some(
    (killedMs) => atMs >= killedMs - BEFORE_KILL_MS && atMs <= killedMs + RECORD_DELAY_MS,
  );
}

/** Returns at most `most` of the turns, evenly distributed over time. */
function sampleEvenly(turns: readonly CompletedTurn[], most: number): CompletedTurn[] {
  const step = Math.max(1, turns.length / Math.max(1, most));
  return turns
    .filter((_, index) => Math.floor(index / step) !== Math.floor((index - 1) / step))
    .slice(0, most);
}

/** Continues from each turn once; returns the turns that are missing. */
async function continueAll(
  turns: readonly MissingTurn[],
  cluster: SoakCluster,
  ledger: SoakLedger,
  untilMs: number,
): Promise<MissingTurn[]> {
  const queue = [...turns];
  const missing: MissingTurn[] = [];
  const work = Array.from({ length: CONCURRENCY }, async () => {
    for (let entry = queue.shift(); entry; entry = queue.shift()) {
      const isOver = ledger.nowMs >= untilMs;
      if (isOver || !(await continueFrom(entry, cluster, ledger))) missing.push(entry);
    }
  });
  await Promise.all(work);
  return missing;
}

/** Continues from a turn; returns whether a runner received exactly the body with its history. */
async function continueFrom(
  { turn, statuses }: MissingTurn,
  cluster: SoakCluster,
  ledger: SoakLedger,
): Promise<boolean> {
  if (statuses.length === 0) ledger.continuedTurns += 1;
  const id = `after-${turn.id}-${statuses.length + 1}`;
  const input = `input of ${id}\n`;
  const prompt = `${turn.conversation}${input}`;
  ledger.prompts.set(id, prompt);
  const headers = turnHeaders({ id, program: `program-${id}`, budget: BUDGET, previous: turn.id });
  const gateway = cluster.gateways[(ledger.continuedTurns + statuses.length) % cluster.gateways.length];
  if (!gateway) throw new Error("the cluster has no gateways");
  const reached = cluster.throughProxy(gateway);
  const { status, whole } = await soakRequest(reached, PATHS.kept, headers, input, TIMEOUT_MS);
  ledger.note({ id, kind: "turn", gateway: gateway.name, status, whole });
  statuses.push(status);
  return cluster.engines.some(({ executedRequests }) =>
    executedRequests.some((run) => run.id === id && run.body === prompt),
  );
}
