/** Tests that programs can use their whole budgets although the owners of their accounts are lost. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { newRequestId, turn } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";

const GATEWAYS = 3;
const EVENTS = 4;
/** As the cluster's configuration has it. */
const TOKENS_PER_EVENT = 10;
const TURN_TOKENS = EVENTS * TOKENS_PER_EVENT;
const MAX_TOKENS = 50;
const BUDGET = 400;
/** By then after the end of a turn, the store counts no more than turns have used. */
const SETTLE_MS = 1_000;
const TRY_INTERVAL_MS = 200;
const MAX_TRIES = 40;
const OK = 200;
const PAYMENT_REQUIRED = 402;

let cluster: GatewayCluster;

/** Takes the next turn of a program, at gateways in turn until one has answered it whole or with 402. */
async function takeTurn(program: string, previous: string | undefined): Promise<string | undefined> {
  for (let count = 0; count < MAX_TRIES; count += 1) {
    const gateway = cluster.gateways[count % GATEWAYS] as TestGateway;
    const id = newRequestId();
    const options = { program, budget: BUDGET, maxTokens: MAX_TOKENS };
    const { status } = await turn(
      gateway,
      PATHS.kept,
      id,
      previous === undefined ? options : { ...options, previous },
    );
    if (status === OK) return id;
    if (status === PAYMENT_REQUIRED) return undefined;
    await pause(TRY_INTERVAL_MS);
  }
  throw new Error("no gateway answered the turn");
}

/** Takes turns until the budget is spent. Before the turns of `losses`, gateways are lost. Returns the number of turns. */
async function countTurns(
  program: string,
  losses: ReadonlyMap<number, () => Promise<void>>,
): Promise<number> {
  let last: string | undefined;
  for (let count = 0; ; count += 1) {
    const lose = losses.get(count);
    if (lose) {
      await pause(SETTLE_MS);
      await lose();
    }
    last = await takeTurn(program, last);
    if (last === undefined) return count;
  }
}

async function loseAll(): Promise<void> {
  await cluster.killAll();
  await cluster.restartAll();
}

/** Kills the gateways one after the other, so that each partition loses its owner once or more. */
async function loseEach(): Promise<void> {
  for (const gateway of cluster.gateways) {
    await gateway.process.kill();
    await pause(SETTLE_MS);
    cluster.restart(gateway);
    await cluster.ready();
  }
}

describe("budgets of programs whose owners are lost", () => {
  beforeEach(async () => {
    cluster = await GatewayCluster.start(GATEWAYS, 1, 0);
    for (const engine of cluster.engines) engine.events = EVENTS;
  });

  afterEach(() => cluster?.stop());

  /** All turns that the budget holds: each needs its most when it begins. */
  const whole = Math.floor((BUDGET - MAX_TOKENS) / TURN_TOKENS) + 1;

  // Guards against a new owner that counts tokens as spent which were set aside for turns that never came.
  it("hold as many turns as without a loss, after all gateways were killed twice", async () => {
    const losses = new Map([4, 6].map((count) => [count, loseAll]));
    const counts = await Promise.all([countTurns("calm", new Map()), countTurns("lost", losses)]);
    expect(counts).toEqual([whole, whole]);
  });

  it("hold as many turns as without a loss, after gateways were killed one after the other", async () => {
    const losses = new Map([3, 5].map((count) => [count, loseEach]));
    expect(await countTurns("lost", losses)).toEqual(whole);
  });
});
