/** Recovery of archived data after all replicas of all shards are lost at the same time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { Observations } from "../../bench/simulation/observations.ts";
import { Operators } from "../../bench/simulation/operators.ts";
import { SimulatedProcess } from "../../bench/simulation/virtual-time.ts";
import { Caller, TEMPLATE, TENANT } from "../../bench/simulation/workload.ts";
import { DEFAULT_WORLD, World } from "../../bench/simulation/world.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";

const CALLERS = 4;
const WORK_MS = 15_000;
const QUIET_MS = 6_000;
const LIMIT_MS = 60_000;

/** Creates a system with finished programs, and an RPC endpoint for an operator. */
async function worldWithHistory(seed: number, hash: TextHash) {
  const world = new World({ ...DEFAULT_WORLD, seed }, hash);
  const observations = new Observations();
  const operators = new Operators(world, observations, seed);
  await world.time.runUntil(LIMIT_MS, () => world.ready);
  await settled(world, operators.applyTemplates(1_000_000));
  const open = await settled(
    world,
    world.ingresses[0].ingress.openProgram({
      tenant: TENANT,
      template: TEMPLATE,
      parent: undefined,
      deadlineMs: undefined,
    }),
  );
  for (let index = 0; index < CALLERS; index++) {
    const random = new SeededRandomSource(seed + index);
    void new Caller(world, observations, random, `caller-${index}`).run(world.time.nowMs + WORK_MS);
  }
  await world.time.runUntil(world.time.nowMs + WORK_MS + QUIET_MS);
  return { world, observations, open, rpc: operatorRpc(world) };
}

function operatorRpc(world: World): RpcEndpoint {
  const process = new SimulatedProcess("operator", "zone-0", world.time);
  const transport = world.network.attach(process, { instance: "operator", address: "10.0.5.0:7000" });
  const rpc = new RpcEndpoint(transport, process, new SeededRandomSource(1));
  transport.onMessage((message) => {
    if (message.type === "rpcResponse") rpc.onResponse(message);
  });
  return rpc;
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

describe("recovery from the object store", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  it("restores every history after all nodes were lost at the same time", async () => {
    const { world, observations, open, rpc } = await worldWithHistory(42, hash);
    for (const node of world.nodes) world.killNode(node);
    await world.time.runUntil(world.time.nowMs + 5_000);
    for (const node of world.nodes) world.restartNode(node);
    await world.time.runUntil(world.time.nowMs + 8_000);
    for (let shard = 0; shard < world.options.shards; shard++) {
      const reply = await settled(world, rpc.ask(world.nodes[0].address, "recoverShard", { shard }, 20_000));
      expect([shard, reply.type]).toEqual([shard, "done"]);
    }
    await world.time.runUntil(world.time.nowMs + 8_000);
    const { ingress } = world.ingresses[0];
    const histories = observations.histories.filter(({ program }) => !program.includes("."));
    expect(histories.length > 3).toEqual(true);
    for (const { program, messages } of histories) {
      const record = await settled(world, ingress.readProgram(program, TENANT));
      expect(record.history.map(({ role, content }) => ({ role, content }))).toEqual([...messages]);
    }
    const request = {
      type: "completion",
      model: "agent-llm",
      messages: [{ role: "user", content: "after the recovery #tokens=4" }],
      maxTokens: 10,
    } as const;
    const call = {
      tenant: TENANT,
      program: open.id,
      number: undefined,
      idempotencyKey: undefined,
      patienceMs: 20_000,
    };
    const session = await settled(
      world,
      ingress.makeCall({ ...call, request, streamed: true }, () => undefined),
    );
    expect((await settled(world, session.result)).type).toEqual("answered");
  });

  it("is refused while a replica answers", async () => {
    const { world, rpc } = await worldWithHistory(43, hash);
    const reply = await settled(world, rpc.ask(world.nodes[0].address, "recoverShard", { shard: 1 }, 20_000));
    expect(reply.type === "problem" && reply.error.problem.kind).toEqual("shard-alive");
  });
});
