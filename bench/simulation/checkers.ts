/**
 * Checks the system's guarantees against what callers, operators and back ends observed. Each checker returns a
 * description of every violation, and an empty list if there are none.
 */

import type { Fault } from "./faults.ts";
import type { Observations, ObservedTurn } from "./observations.ts";
import type { World } from "./world.ts";

/** Time after which a leaving engine may not receive any more work. */
export const LEAVING_BOUND_MS = 5_000;
/** Time after which an accepted configuration must be in force on every node. */
export const IN_FORCE_BOUND_MS = 12_000;

/** Input of the checkers. */
export interface CheckInput {
  readonly world: World;
  readonly observations: Observations;
  readonly budgetTokens: number;
  readonly withdrawnMs: number;
  readonly plan: readonly Fault[];
}

/** The checker of each guarantee, by the guarantee's name. */
export const CHECKERS: Readonly<Record<string, (input: CheckInput) => string[]>> = {
  "history and order": checkHistories,
  "whole answers": checkAnswers,
  "at most once": checkCharges,
  "true refusals": checkRefusals,
  budget: checkBudget,
  "engine memory": checkEngineMemory,
  "leaving back ends": checkLeaving,
  configuration: checkConfiguration,
  "planned stops": checkPlannedStops,
  liveness: checkLiveness,
};

/** A program's history must match its caller's turns, in order. Turns with an unknown outcome may be missing. */
function checkHistories({ observations }: CheckInput): string[] {
  return observations.histories.flatMap(({ program, messages }) => {
    const turns = observations.turns.filter((turn) => turn.program === program);
    const left = [...messages];
    const broken: string[] = [];
    for (const turn of turns) {
      const present = left[0]?.content === turn.question;
      if (present) broken.push(...checkTurn(program, turn, left));
      else if (turn.outcome === "answered") broken.push(`${program} lost the turn "${turn.question}"`);
    }
    if (left.length > 0)
      broken.push(`${program} holds unexpected or misplaced messages: "${left[0].content}"`);
    return broken;
  });
}

function checkTurn(program: string, turn: ObservedTurn, left: { role: string; content: string }[]): string[] {
  left.shift();
  const answer = left.shift();
  if (turn.outcome === "failed" || turn.outcome === "not-run") {
    return [`${program} holds the turn "${turn.question}" that was answered ${turn.outcome}`];
  }
  const differs = turn.outcome === "answered" && answer?.content !== turn.answer;
  return differs ? [`${program} holds another answer to "${turn.question}" than its caller saw`] : [];
}

/** Faults that may disconnect an ingress from the node that executes its call. */
const DISCONNECTING_FAULTS = /^(kill|freeze|cut|isolate|drain|network-loss)/;

function checkAnswers({ observations, plan }: CheckInput): string[] {
  const parted = plan.some(({ kind }) => DISCONNECTING_FAULTS.test(kind));
  return observations.turns.flatMap((turn) => {
    if (turn.interrupted && !parted) return [`"${turn.question}" was interrupted for no reason`];
    if (turn.outcome !== "answered") return [];
    if (turn.streamed !== turn.answer)
      return [`"${turn.question}" was streamed with another text than it was answered with`];
    if (turn.answer.length === turn.expectedLength) return [];
    return [`"${turn.question}" has ${turn.answer.length} of ${turn.expectedLength} characters`];
  });
}

function checkCharges({ observations, world }: CheckInput): string[] {
  return observations.charges.flatMap(({ body, outcome }) => {
    const ran = world.ledger.ledger.filter((call) => call.body === body).length;
    if (ran > 1) return [`"${body}" ran ${ran} times`];
    return outcome === "answered" && ran === 0 ? [`"${body}" was answered and never ran`] : [];
  });
}

function checkRefusals({ observations, world }: CheckInput): string[] {
  return observations.charges.flatMap(({ body, outcome }) => {
    const ran = world.ledger.ledger.some((call) => call.body === body);
    return outcome === "not-run" && ran ? [`"${body}" was refused as not run, and ran`] : [];
  });
}

function checkBudget({ world, budgetTokens }: CheckInput): string[] {
  let spent = 0;
  for (const engine of world.engines) {
    for (const tokens of engine.tokensByProgram.values()) spent += tokens;
  }
  return spent > budgetTokens ? [`${spent} tokens were spent of a budget of ${budgetTokens}`] : [];
}

function checkEngineMemory({ world }: CheckInput): string[] {
  return world.engines.flatMap((engine) =>
    engine.model
      .holds()
      .map(({ program, tokens }) => `${engine.options.name} holds ${tokens} tokens for ${program}`),
  );
}

function checkLeaving({ world }: CheckInput): string[] {
  return world.engines
    .filter((engine) => engine.latestAfterLeavingMs > LEAVING_BOUND_MS)
    .map(
      (engine) => `${engine.options.name} took work ${engine.latestAfterLeavingMs} ms after it was leaving`,
    );
}

function checkConfiguration({ observations, withdrawnMs, world }: CheckInput): string[] {
  const late = observations.probes
    .filter(({ served, startedMs }) => served && startedMs > withdrawnMs + IN_FORCE_BOUND_MS)
    .map(
      ({ startedMs }) =>
        `a model was served ${Math.round(startedMs - withdrawnMs)} ms after it was withdrawn`,
    );
  const versions = new Set(
    world.nodes.filter((node) => node.process.alive).map((node) => node.daemon.configuration.version),
  );
  const differing = versions.size > 1 ? [`nodes ended with versions ${[...versions].join(", ")}`] : [];
  const accepted = observations.changes
    .filter(({ outcome }) => outcome === "accepted")
    .map(({ version }) => version);
  const doubled = accepted.filter((version, index) => accepted.indexOf(version) !== index);
  return [
    ...late,
    ...differing,
    ...doubled.map((version) => `two changes were accepted as version ${version}`),
  ];
}

/** If nothing fails and nodes only stop as planned, every call must succeed. */
function checkPlannedStops({ observations, plan }: CheckInput): string[] {
  if (plan.length === 0 || plan.some((fault) => fault.kind !== "drain-node")) return [];
  return observations.failures > 0 ? [`${observations.failures} calls had no answer`] : [];
}

function checkLiveness({ observations, world }: CheckInput): string[] {
  const stuck = observations.unfinished > 0 ? [`${observations.unfinished} callers never finished`] : [];
  const leaderless: string[] = [];
  for (let shard = 0; shard < world.options.shards; shard++) {
    const led = world.nodes.some((node) => node.process.alive && node.daemon.shards.get(shard)?.leads);
    if (!led) leaderless.push(`shard ${shard} ended without a leader`);
  }
  return [...stuck, ...leaderless];
}
