/** Writes of a partition's owner under each store fault, and in competition with another owner. */

import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { TokenAccount } from "../../src/coordination/token-account/index.ts";
import type { GatewayContext } from "../../src/gateway/gateway-context.ts";
import {
  accountKey,
  decodeAccount,
  encodeOwner,
  ownerKey,
} from "../../src/gateway/partitions/partition-rows.ts";
import { PartitionWriter } from "../../src/gateway/partitions/partition-writer.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import type { ProgramId } from "../../src/scheduling/ids/program-id.ts";
import { RowStoreStandin, type StoreFault } from "../../standins/platform/row-store-standin.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const PARTITION = 1;
const PROGRAM = "program" as ProgramId;
/** Timeout of store calls, in ms. */
const STORE_TIMEOUT_MS = 1_000;

let standin: RowStoreStandin;
let context: GatewayContext;
let lostCount: number;

async function takeOver(owner: GatewayContext, version: number): Promise<PartitionWriter> {
  const key = ownerKey(PARTITION);
  const value = encodeOwner({ instance: owner.instance, commit: 0 });
  const outcome = await context.platform.store.transact({
    conditions: [{ ...key, version }],
    puts: [{ ...key, value }],
    removes: [],
  });
  if (outcome.type !== "committed") throw new Error(`not taken over: ${outcome.type}`);
  const health = new StoreHealth(owner);
  health.recordOutcome(outcome);
  const epoch = outcome.version;
  const onLost = () => {
    lostCount += 1;
  };
  return new PartitionWriter({
    context: owner,
    health,
    partition: PARTITION,
    epoch,
    onLost,
  });
}

async function storedTokens(): Promise<number | undefined> {
  const { table, part } = accountKey(PARTITION, PROGRAM);
  const read = await context.platform.store.read({ table, part });
  const [row] = read.type === "rows" ? read.rows : [];
  return row && new TokenAccount(decodeAccount(row.value)).committed;
}

function spend(account: TokenAccount, turn: string): TokenAccount {
  account.admit(turn, 100, 10_000, 0);
  return account;
}

describe("partition writer", () => {
  beforeEach(async () => {
    standin = new RowStoreStandin();
    context = await gatewayContext("first", await standin.listen(), STORE_TIMEOUT_MS);
    lostCount = 0;
  });
  afterEach(() => standin.close());

  const FAULTS: StoreFault[] = ["busy", "throttled", "silent", "reset", "lostAnswer", "lateWrite"];
  for (const fault of FAULTS) {
    it(`stores each change exactly once after ${fault}`, async () => {
      const writer = await takeOver(context, 0);
      const account = spend(new TokenAccount(), "turn-1");
      standin.fault = fault;
      const first = writer.writeAccount(PROGRAM, account);
      setTimeout(() => {
        standin.fault = "none";
      }, 100);
      expect(await first).toEqual("recorded");
      expect(await storedTokens()).toEqual(100);
      expect(await writer.writeAccount(PROGRAM, spend(account, "turn-2"))).toEqual("recorded");
      expect(await storedTokens()).toEqual(200);
      // A write that arrives late must not replace a newer count by an older one.
      await new Promise((resolve) => setTimeout(resolve, 400));
      expect(await storedTokens()).toEqual(200);
      expect(lostCount).toEqual(0);
    });
  }

  it("does not wait for the store timeout after a lost response", async () => {
    const writer = await takeOver(context, 0);
    const account = new TokenAccount();
    for (let turn = 0; turn < 5; turn += 1)
      await writer.writeAccount(PROGRAM, spend(account, `turn-${turn}`));
    standin.fault = "lostAnswer";
    const startedMs = performance.now();
    const write = writer.writeAccount(PROGRAM, spend(account, "turn-5"));
    setTimeout(() => {
      standin.fault = "none";
    }, 20);
    expect(await write).toEqual("recorded");
    expect(performance.now() - startedMs < STORE_TIMEOUT_MS / 2).toEqual(true);
    expect(await storedTokens()).toEqual(600);
  });

  it("accepts a response that is later than usual", async () => {
    const writer = await takeOver(context, 0);
    standin.delayMs = 400;
    const startedMs = performance.now();
    expect(await writer.writeAccount(PROGRAM, spend(new TokenAccount(), "turn"))).toEqual("recorded");
    expect(performance.now() - startedMs < 600).toEqual(true);
    expect(await storedTokens()).toEqual(100);
  });

  it("batches simultaneous writes in one transaction", async () => {
    const writer = await takeOver(context, 0);
    const before = standin.counts.writes;
    const writes = Array.from({ length: 20 }, (_, index) =>
      writer.writeAccount(`program-${index}` as ProgramId, spend(new TokenAccount(), "turn")),
    );
    expect(await Promise.all(writes)).toEqual(writes.map(() => "recorded" as const));
    expect(standin.counts.writes - before).toEqual(1);
  });

  it("splits writes that exceed the size of a transaction", async () => {
    const writer = await takeOver(context, 0);
    const writes = Array.from({ length: 250 }, (_, index) =>
      writer.writeAccount(`program-${index}` as ProgramId, spend(new TokenAccount(), "turn")),
    );
    expect(await Promise.all(writes)).toEqual(writes.map(() => "recorded" as const));
  });

  it("stops writing when a new owner has taken over", async () => {
    const first = await takeOver(context, 0);
    const second = { ...context, instance: "second#1" };
    const writer = await takeOver(second, standin.model.version);
    expect(await first.writeAccount(PROGRAM, spend(new TokenAccount(), "turn"))).toEqual("lost");
    expect(lostCount).toEqual(1);
    expect(await storedTokens()).toEqual(undefined);
    expect(await writer.writeAccount(PROGRAM, spend(new TokenAccount(), "turn"))).toEqual("recorded");
  });

  it("reports a delayed write as lost if the new owner takes over first", async () => {
    const first = await takeOver(context, 0);
    standin.fault = "lateWrite";
    standin.lateWriteMs = 500;
    const write = first.writeAccount(PROGRAM, spend(new TokenAccount(), "turn"));
    await new Promise((resolve) => setTimeout(resolve, 50));
    standin.fault = "none";
    await takeOver({ ...context, instance: "second#1" }, standin.model.version);
    expect(await write).toEqual("lost");
    await new Promise((resolve) => setTimeout(resolve, 600));
    expect(await storedTokens()).toEqual(undefined);
  });

  it("releases reserved tokens when it releases the partition", async () => {
    const writer = await takeOver(context, 0);
    const account = new TokenAccount();
    account.admit("turn", 100, 10_000, 3);
    await writer.writeAccount(PROGRAM, account);
    expect(await storedTokens()).toEqual(400);
    const released = {
      revision: account.revision,
      isRevisionStored: () => true,
      snapshot: () => account.snapshot(true),
      markStored: () => undefined,
    };
    await writer.release(new Map([[PROGRAM, released]]), () => undefined);
    expect(await storedTokens()).toEqual(100);
    expect(lostCount).toEqual(1);
  });
});
