/** Calls in progress at a leader that loses its shard while it is alive and callers still reach it. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { Observations } from "../../bench/simulation/observations.ts";
import { Operators } from "../../bench/simulation/operators.ts";
import { TEMPLATE, TENANT } from "../../bench/simulation/workload.ts";
import { DEFAULT_WORLD, type NodeSlot, World } from "../../bench/simulation/world.ts";
import type { CallResult } from "../../src/node/ingress/call-session.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const SEED = 7;
const PROGRAMS = 4;
const TOKENS = 20;
/** An answer of this length takes longer than a call may wait for a missing one before it. */
const MANY_TOKENS = 400;
/** Time after which an accepted configuration is in force on all nodes. */
const IN_FORCE_MS = 3_000;
const LIMIT_MS = 60_000;
/** Longer than a leader waits for its proposals and for another leader together, shorter than callers wait. */
const LONG_OUTAGE_MS = 30_000;
/** Time within which a shard has another leader after the loss of one. */
const ELECTION_MS = 3_000;
/** Time within which a call is answered although its leader is lost: an election, a takeover, and the call itself. */
const ANSWER_MS = 15_000;

/** Time for a call of TOKENS tokens once nothing is before it. */
const NEXT_CALL_MS = 1_500;

/** Starts a system with one shard, so that all programs have the same leader. */
async function startWorld(hash: TextHash): Promise<World> {
  const world = new World({ ...DEFAULT_WORLD, seed: SEED, nodes: 5, shards: 1 }, hash);
  await world.time.runUntil(LIMIT_MS, () => world.ready && findLeader(world) !== undefined);
  await settled(world, new Operators(world, new Observations(), SEED).applyTemplates(1_000_000));
  await world.time.runUntil(world.time.nowMs + IN_FORCE_MS);
  return world;
}

function findLeader(world: World): NodeSlot | undefined {
  return world.nodes.find((node) => node.process.alive && node.daemon.shards.get(0)?.leads);
}

/** The newest term of the shard on any live node. */
function newestTerm(world: World): number {
  const live = world.nodes.filter((node) => node.process.alive);
  return Math.max(...live.map((node) => node.daemon.shards.get(0)?.term ?? 0));
}

async function settled<Value>(world: World, promise: Promise<Value>): Promise<Value> {
  let done = false;
  const mark = () => {
    done = true;
  };
  promise.then(mark, mark);
  await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => done);
  return promise;
}

async function openPrograms(world: World): Promise<string[]> {
  const { ingress } = world.ingresses[0];
  const parameters = { tenant: TENANT, template: TEMPLATE, parent: undefined, deadlineMs: undefined };
  const programs = await settled(
    world,
    Promise.all(Array.from({ length: PROGRAMS }, () => ingress.openProgram(parameters))),
  );
  return programs.map(({ id }) => id);
}

/** Makes a call in each program, so that the shard then holds tokens for further calls. */
async function makeFirstCalls(world: World, programs: readonly string[]): Promise<void> {
  const results = startCalls(world, programs);
  await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => results.length === programs.length);
}

/** Starts one call for each program. Returns the results, in the order in which they arrive. */
function startCalls(world: World, programs: readonly string[], tokens = TOKENS): CallResult[] {
  const results: CallResult[] = [];
  const request = {
    type: "completion",
    model: "agent-llm",
    messages: [{ role: "user", content: `who leads #tokens=${tokens}` }],
    maxTokens: 2 * tokens,
  } as const;
  for (const program of programs) {
    const call = { tenant: TENANT, program, number: undefined, idempotencyKey: undefined, streamed: false };
    void world.ingresses[0].ingress
      .makeCall({ ...call, request, patienceMs: LIMIT_MS }, () => undefined)
      .then(async (session) => results.push(await session.result));
  }
  return results;
}

/** Whether a node executes `count` calls, and engines work on all of them. */
function areAtEngines(node: NodeSlot, count: number): boolean {
  const phases = [...node.daemon.calls.executing()].map(({ phase }) => phase);
  return phases.length === count && phases.every((phase) => phase === "engine");
}

/** Cuts a node off all other nodes, or reconnects it. Callers' nodes and back ends still reach it. */
function setCutOff(world: World, cutOff: NodeSlot, isCut: boolean): void {
  for (const node of world.nodes) {
    if (node === cutOff) continue;
    for (const [from, to] of [
      [node.name, cutOff.name],
      [cutOff.name, node.name],
    ]) {
      if (isCut) world.network.cut(from, to);
      else world.network.heal(from, to);
    }
  }
}

describe("loss of leadership", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  it("answers calls whose leader is cut off from the other nodes while their engines work", async () => {
    const world = await startWorld(hash);
    const programs = await openPrograms(world);
    await makeFirstCalls(world, programs);
    const leader = findLeader(world) as NodeSlot;
    const startMs = world.time.nowMs;
    const results = startCalls(world, programs);
    await world.time.runUntil(startMs + LIMIT_MS, () => areAtEngines(leader, PROGRAMS));
    setCutOff(world, leader, true);
    await world.time.runUntil(startMs + ANSWER_MS, () => results.length === PROGRAMS);
    expect(results.map(({ type }) => type)).toEqual(programs.map(() => "answered"));
  });

  it("delivers ready answers after a shard was without a majority for long", async () => {
    const world = await startWorld(hash);
    const programs = await openPrograms(world);
    await makeFirstCalls(world, programs);
    const leader = findLeader(world) as NodeSlot;
    const results = startCalls(world, programs);
    await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => areAtEngines(leader, PROGRAMS));
    for (const node of world.nodes) setCutOff(world, node, true);
    await world.time.runUntil(world.time.nowMs + LONG_OUTAGE_MS);
    for (const node of world.nodes) setCutOff(world, node, false);
    await world.time.runUntil(world.time.nowMs + ANSWER_MS, () => results.length === PROGRAMS);
    expect(results.map(({ type }) => type)).toEqual(programs.map(() => "answered"));
  });

  it("continues all calls of a dead leader at once while the budget covers them", async () => {
    const world = await startWorld(hash);
    const programs = await openPrograms(world);
    await makeFirstCalls(world, programs);
    const leader = findLeader(world) as NodeSlot;
    const results = startCalls(world, programs);
    await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => areAtEngines(leader, PROGRAMS));
    world.killNode(leader);
    await world.time.runUntil(world.time.nowMs + ANSWER_MS, () => results.length === PROGRAMS);
    expect(results.map(({ type }) => type)).toEqual(programs.map(() => "answered"));
  });

  it("runs a call that waits for one at the former leader, once that one has ended", async () => {
    const world = await startWorld(hash);
    const [program] = await openPrograms(world);
    const former = findLeader(world) as NodeSlot;
    const results = startCalls(world, [program], MANY_TOKENS);
    await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => areAtEngines(former, 1));
    const replica = former.daemon.shards.get(0);
    replica?.group.transferLeadership(former.process.monotonicMs());
    replica?.runEffects();
    await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => {
      const leader = findLeader(world);
      return leader !== undefined && leader !== former;
    });
    const next = startCalls(world, [program]);
    await world.time.runUntil(world.time.nowMs + LIMIT_MS, () => results.length > 0);
    const firstEndMs = world.time.nowMs;
    await world.time.runUntil(firstEndMs + LIMIT_MS, () => next.length > 0);
    expect([...results, ...next].map(({ type }) => type)).toEqual(["answered", "answered"]);
    expect(world.time.nowMs - firstEndMs < NEXT_CALL_MS).toEqual(true);
  });

  it("keeps a new leader after the old one died, in a shard with few entries", async () => {
    const world = await startWorld(hash);
    world.killNode(findLeader(world) as NodeSlot);
    await world.time.runUntil(world.time.nowMs + ELECTION_MS);
    const term = newestTerm(world);
    await world.time.runUntil(world.time.nowMs + LIMIT_MS);
    expect(newestTerm(world) - term <= 1).toEqual(true);
  });

  for (const [title, cutMs] of [
    ["that hears of the new leader", 3_000],
    ["that hears nothing of the new leader", ANSWER_MS],
  ] as const) {
    it(`leaves no call open at a leader ${title}, without later traffic`, async () => {
      const world = await startWorld(hash);
      const programs = await openPrograms(world);
      await makeFirstCalls(world, programs);
      const leader = findLeader(world) as NodeSlot;
      const startMs = world.time.nowMs;
      setCutOff(world, leader, true);
      const results = startCalls(world, programs);
      const isDone = () => results.length === PROGRAMS;
      await world.time.runUntil(startMs + cutMs, isDone);
      setCutOff(world, leader, false);
      await world.time.runUntil(startMs + ANSWER_MS, isDone);
      expect(results.map(({ type }) => type)).toEqual(programs.map(() => "answered"));
    });
  }
});
