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
/** Time after which an accepted configuration is in force on all nodes. */
const IN_FORCE_MS = 3_000;
const LIMIT_MS = 60_000;
/** Time within which a call is answered although its leader is lost: an election, a takeover, and the call itself. */
const ANSWER_MS = 15_000;

/** Starts a system with one shard, so that all programs have the same leader. */
async function startWorld(hash: TextHash): Promise<World> {
  const world = new World({ ...DEFAULT_WORLD, seed: SEED, nodes: 5, shards: 1 }, hash);
  await world.time.runUntil(LIMIT_MS, () => world.ready && findLeader(world) !== undefined);
  await settled(world, new Operators(world, new Observations(), SEED).applyTemplates(1_000_000));
  await world.time.runUntil(world.time.nowMs + IN_FORCE_MS);
  return world;
}

function findLeader(world: World): NodeSlot | undefined {
  return world.nodes.find((node) => node.daemon.shards.get(0)?.leads);
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
function startCalls(world: World, programs: readonly string[]): CallResult[] {
  const results: CallResult[] = [];
  const request = {
    type: "completion",
    model: "agent-llm",
    messages: [{ role: "user", content: `who leads #tokens=${TOKENS}` }],
    maxTokens: 2 * TOKENS,
  } as const;
  for (const program of programs) {
    const call = { tenant: TENANT, program, number: undefined, idempotencyKey: undefined, streamed: false };
    void world.ingresses[0].ingress
      .makeCall({ ...call, request, patienceMs: LIMIT_MS }, () => undefined)
      .then(async (session) => results.push(await session.result));
  }
  return results;
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
    const areAtEngines = () => {
      const phases = [...leader.daemon.calls.executing()].map(({ phase }) => phase);
      return phases.length === PROGRAMS && phases.every((phase) => phase === "engine");
    };
    await world.time.runUntil(startMs + LIMIT_MS, areAtEngines);
    setCutOff(world, leader, true);
    await world.time.runUntil(startMs + ANSWER_MS, () => results.length === PROGRAMS);
    expect(results.map(({ type }) => type)).toEqual(programs.map(() => "answered"));
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
