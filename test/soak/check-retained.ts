/** Whether turns that were answered whole are there after the faults: fresh programs go on from them. */
import { PATHS, pause } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { SaidTurn, SoakLedger } from "./soak-ledger.ts";
import { soakRequest } from "./soak-request.ts";
import { MOST, turnHeaders } from "./soak-turn.ts";

/** Most turns that are gone on from, those before a kill of all gateways aside: a few seconds' work. */
const MAX_TURNS = 400;
/** Turns that were answered within this time before all gateways were killed are always gone on from, in ms. */
const LAST_MS = 3_000;
/** An answer that left a gateway before its end may be noted this much later, in ms. */
const NOTED_LATER_MS = 500;
/** Time for all tries, in ms; those that no try has reached by then are left out. */
const LONGEST_MS = 20_000;
/** Turns that are older are not gone on from, in ms: the test's routes keep them for 60 s, less the time for the tries. */
const MAX_AGE_MS = 36_000;
/** Budget of a program that goes on, in tokens: one turn, so that whatever is charged to a fresh program shows. */
const BUDGET = MOST;
const TRIES = 5;
const TIMEOUT_MS = 3_000;
const PAUSE_MS = 1_000;
/** Turns that are gone on from at a time: as many as the engines have slots. */
const AT_ONCE = 24;
/** How many of those that are not there a report names. */
const NAMED = 20;

/** A turn that no runner got the chain of yet, with what the tries were answered. */
interface MissingTurn {
  readonly turn: SaidTurn;
  readonly statuses: number[];
}

/** See the module's comment. Call it when everything must work again. */
export async function checkRetained(cluster: SoakCluster, ledger: SoakLedger): Promise<void> {
  const untilMs = ledger.nowMs + LONGEST_MS;
  let missing: MissingTurn[] = choose(ledger).map((turn) => ({ turn, statuses: [] }));
  for (let count = 0; count < TRIES && missing.length > 0 && ledger.nowMs < untilMs; count += 1) {
    if (count > 0) await pause(PAUSE_MS);
    missing = await tryAll(missing, cluster, ledger, untilMs);
  }
  const lost = missing.filter(({ statuses }) => statuses.length > 0);
  if (lost.length === 0) return;
  const named = lost.slice(0, NAMED).map(({ turn, statuses }) => {
    return `${turn.id} of ${turn.atMs} ms got ${statuses.join(" ")}`;
  });
  ledger.breaks("retained turns", `${lost.length} turns answered whole are not there: ${named.join(", ")}`);
}

/** Those before a kill of all gateways, then of the others those under faults first. */
function choose(ledger: SoakLedger): SaidTurn[] {
  const kept = ledger.said.filter(({ atMs }) => ledger.nowMs - atMs <= MAX_AGE_MS);
  const beforeKill = kept.filter((turn) => isBeforeKill(turn, ledger));
  const others = kept.filter((turn) => !isBeforeKill(turn, ledger));
  const underFaults = spread(
    others.filter((turn) => turn.underFaults),
    MAX_TURNS,
  );
  const rest = spread(
    others.filter((turn) => !turn.underFaults),
    MAX_TURNS - underFaults.length,
  );
  return [...beforeKill, ...underFaults, ...rest];
}

function isBeforeKill({ atMs }: SaidTurn, { allKilledMs }: SoakLedger): boolean {
  return allKilledMs.some((killedMs) => atMs >= killedMs - LAST_MS && atMs <= killedMs + NOTED_LATER_MS);
}

/** At most `most` of the turns, evenly over the time. */
function spread(turns: readonly SaidTurn[], most: number): SaidTurn[] {
  const step = Math.max(1, turns.length / Math.max(1, most));
  return turns
    .filter((_, index) => Math.floor(index / step) !== Math.floor((index - 1) / step))
    .slice(0, most);
}

/** Goes on from each turn once; returns those that are not there. */
async function tryAll(
  turns: readonly MissingTurn[],
  cluster: SoakCluster,
  ledger: SoakLedger,
  untilMs: number,
): Promise<MissingTurn[]> {
  const queue = [...turns];
  const missing: MissingTurn[] = [];
  const work = Array.from({ length: AT_ONCE }, async () => {
    for (let entry = queue.shift(); entry; entry = queue.shift()) {
      const isOver = ledger.nowMs >= untilMs;
      if (isOver || !(await goOn(entry, cluster, ledger))) missing.push(entry);
    }
  });
  await Promise.all(work);
  return missing;
}

/** Goes on from a turn; whether a runner got exactly the body of its chain. */
async function goOn(
  { turn, statuses }: MissingTurn,
  cluster: SoakCluster,
  ledger: SoakLedger,
): Promise<boolean> {
  if (statuses.length === 0) ledger.goneOnFrom += 1;
  const id = `after-${turn.id}-${statuses.length + 1}`;
  const input = `input of ${id}\n`;
  const prompt = `${turn.said}${input}`;
  ledger.prompts.set(id, prompt);
  const headers = turnHeaders({ id, program: `program-${id}`, budget: BUDGET, previous: turn.id });
  const gateway = cluster.gateways[(ledger.goneOnFrom + statuses.length) % cluster.gateways.length];
  if (!gateway) throw new Error("there are gateways");
  const reached = cluster.forCallers(gateway);
  const { status, whole } = await soakRequest(reached, PATHS.kept, headers, input, TIMEOUT_MS);
  ledger.note({ id, kind: "turn", gateway: gateway.name, status, whole });
  statuses.push(status);
  return cluster.engines.some(({ executedRequests }) =>
    executedRequests.some((run) => run.id === id && run.body === prompt),
  );
}
