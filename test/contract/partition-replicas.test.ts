/** The replicas of a partition as its owner uses them, before replicas that answer as a table says. */
import { beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { GatewayContext } from "../../src/gateway/gateway-context.ts";
import type { GatewayRpcSchema } from "../../src/gateway/gateway-messages.ts";
import { copyKey } from "../../src/gateway/replicas/copy-key.ts";
import { PartitionReplicas } from "../../src/gateway/replicas/partition-replicas.ts";
import type { RecordCopy } from "../../src/gateway/replicas/record-copy.ts";
import type { Replica } from "../../src/gateway/replicas/replica.ts";
import { RpcEndpoint, type RpcReply } from "../../src/runtime/rpc.ts";
import type { ProgramId } from "../../src/scheduling/ids/program-id.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

type Verdict = "kept" | "fenced" | "full" | "notMeant" | "silent";

const PROGRAM = "program" as ProgramId;
const KEY = copyKey("account", PROGRAM);
const ROW = { settled: 1, ahead: 0, open: [], epoch: 7, sequence: 4 };
const COPY: RecordCopy = { type: "account", program: PROGRAM, row: ROW };

/** Answers as it is told, and remembers what it was asked. */
class ScriptedRpc extends RpcEndpoint<GatewayRpcSchema> {
  readonly verdicts = new Map<string, Verdict>();
  readonly asked: { readonly address: string; readonly name: string; readonly body: unknown }[] = [];

  override async ask<Name extends keyof GatewayRpcSchema>(
    address: string,
    name: Name,
    body: GatewayRpcSchema[Name]["request"],
  ): Promise<RpcReply<Name, GatewayRpcSchema>> {
    this.asked.push({ address, name, body });
    const verdict = this.verdicts.get(address) ?? "kept";
    if (verdict === "silent") return { type: "timeout" };
    return { type: "done", body: { type: verdict } as GatewayRpcSchema[Name]["response"] };
  }

  /** Addresses that were asked something. */
  addresses(name: string): string[] {
    return this.asked.filter((request) => request.name === name).map(({ address }) => address);
  }
}

function replica(name: string): Replica {
  return { instance: `${name}#1`, address: name };
}

const [A, B, C, D] = ["a", "b", "c", "d"].map(replica) as [Replica, Replica, Replica, Replica];

let context: GatewayContext;
let rpc: ScriptedRpc;
let dead: Set<string>;
let paused: boolean;
let fenced: number;

function replicasOf(named: readonly Replica[], choice = named, inherited: readonly Replica[][] = []) {
  const candidates = {
    choose: () => choice,
    isAlive: ({ instance }: Replica) => !dead.has(instance),
    isGone: () => false,
    wasPaused: () => paused,
  };
  const onFenced = () => {
    fenced += 1;
  };
  const parts = { context, rpc, candidates, partition: 1, epoch: 7, rowOwner: context.instance, onFenced };
  return new PartitionReplicas(parts, named, inherited);
}

function append(replicas: PartitionReplicas): Promise<boolean> {
  return replicas.append(new Map([[KEY, { copy: COPY, sequence: 4 }]]));
}

describe("replicas of a partition", () => {
  beforeEach(async () => {
    context = await gatewayContext("owner", "127.0.0.1:1");
    rpc = new ScriptedRpc({ send: () => undefined }, context.clock, context.random);
    dead = new Set();
    paused = false;
    fenced = 0;
  });

  const CASES: [Verdict[], boolean][] = [
    [["kept", "kept", "silent"], true],
    [["kept", "full", "notMeant"], false],
    [["kept", "silent", "silent"], false],
    [["kept", "kept", "kept"], true],
  ];
  for (const [verdicts, isKept] of CASES) {
    it(`${isKept ? "keep" : "do not keep"} a record when they answer ${verdicts.join(", ")}`, async () => {
      for (const [index, verdict] of verdicts.entries())
        rpc.verdicts.set([A, B, C][index]?.address ?? "", verdict);
      expect(await append(replicasOf([A, B, C]))).toEqual(isKept);
    });
  }

  it("keep nothing when there are none", async () => {
    expect(await append(replicasOf([]))).toEqual(false);
  });

  it("tell the owner that a newer one has sealed them", async () => {
    rpc.verdicts.set("a", "fenced");
    await append(replicasOf([A, B, C]));
    expect(fenced).toEqual(1);
  });

  it("are told to drop copies once the store has all of them in a snapshot as new", async () => {
    const replicas = replicasOf([A, B, C]);
    await append(replicas);
    replicas.stored(KEY, 3);
    expect([replicas.isStored, rpc.addresses("dropCopies")]).toEqual([false, []]);
    replicas.stored(KEY, 4);
    expect([replicas.isStored, rpc.addresses("dropCopies")]).toEqual([true, ["a", "b", "c"]]);
  });

  it("are replaced when one has died, and the old ones count until most know", async () => {
    const replicas = replicasOf([A, B, C], [A, B, D]);
    dead.add(C.instance);
    expect(replicas.groupsForRow()).toEqual([[A, B, D]]);
    // The store may name either group until the row is confirmed.
    rpc.verdicts.set("d", "silent");
    rpc.verdicts.set("a", "silent");
    expect(await append(replicas)).toEqual(false);
    rpc.verdicts.clear();
    expect(await append(replicas)).toEqual(true);
    expect(replicas.confirm()).toEqual(true);
    expect(replicas.confirm()).toEqual(false);
  });

  it("are not replaced while they hold what the store does not have", async () => {
    const replicas = replicasOf([A, B, C], [A, B, D]);
    await append(replicas);
    dead.add(C.instance);
    expect(replicas.groupsForRow()).toEqual([[A, B, C]]);
    replicas.stored(KEY, 4);
    expect(replicas.groupsForRow()).toEqual([[A, B, D]]);
  });

  it("of earlier owners are named until their records are in the store", () => {
    const replicas = replicasOf([A, B, C], [A, B, C], [[D]]);
    replicas.inherit(KEY, 0);
    expect(replicas.groupsForRow()).toEqual([[A, B, C], [D]]);
    replicas.stored(KEY, 1);
    expect(replicas.groupsForRow()).toEqual([[A, B, C]]);
    expect(rpc.addresses("dropCopies")).toEqual(["d"]);
  });

  it("must be asked by an owner that stood still, or that most of them have fallen silent for", () => {
    const replicas = replicasOf([A, B, C]);
    expect(replicas.isInTouch).toEqual(true);
    dead.add(A.instance);
    expect(replicas.isInTouch).toEqual(true);
    dead.add(B.instance);
    expect(replicas.isInTouch).toEqual(false);
    dead.clear();
    paused = true;
    expect(replicas.isInTouch).toEqual(false);
  });
});
