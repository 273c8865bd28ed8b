/** The last landed build beside the present one, while gateways are replaced one after the other. */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { GatewayBuild } from "./support/gateway-build.ts";
import { type CallerAnswer, call, newRequestId, turn } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";
import { TestAddresses } from "./support/test-addresses.ts";

/** The build that may still run while the present one is rolled out. */
const LANDED_COMMIT = "524fb38";
const GATEWAYS = 3;
const TOKENS_PER_EVENT = 10;
const BUDGET = 200;
const OK = 200;
const SPENT = 402;
const UNAVAILABLE = 503;
const PATIENCE_MS = 10_000;

class RollingCluster extends GatewayCluster {
  readonly #first: GatewayBuild;

  private constructor(first: GatewayBuild) {
    super(new TestAddresses());
    this.#first = first;
  }

  static async startWith(first: GatewayBuild): Promise<RollingCluster> {
    const cluster = new RollingCluster(first);
    await cluster.startAll(GATEWAYS, 2, 2);
    return cluster;
  }

  protected override get firstScript(): string {
    return this.#first.script;
  }

  protected override get moreSettings(): object {
    return { timing: { lingerMs: 500 } };
  }

  /** Stops a gateway as planned, and starts the other build in its place. */
  async replace(gateway: TestGateway, build: GatewayBuild): Promise<void> {
    gateway.process.signal("SIGTERM");
    await gateway.process.exited;
    gateway.script = build.script;
    this.restart(gateway);
    await this.ready();
  }
}

/** Programs and calls that go on at all gateways in turn. */
class Load {
  readonly #cluster: RollingCluster;
  readonly #program: string;
  #next = 0;
  #isOver = false;
  #loops: Promise<void>[] = [];
  /** Calls that may run once, and what their callers got. */
  readonly calls = new Map<string, number>();
  /** Turns of a kept conversation, in order. */
  readonly kept: string[] = [];
  readonly keptStatuses: number[] = [];
  budgetTokens = 0;

  constructor(cluster: RollingCluster, program: string) {
    this.#cluster = cluster;
    this.#program = program;
  }

  start(): void {
    this.#loops = [this.#repeat(() => this.#call()), this.#repeat(() => this.#keptTurn())];
  }

  async stop(): Promise<void> {
    this.#isOver = true;
    await Promise.all(this.#loops);
  }

  /** Has a turn of each of some programs run by every gateway, so that each asks the owners of all partitions. */
  async askAll(): Promise<void> {
    for (const gateway of this.#cluster.gateways)
      for (let index = 0; index < 8; index += 1) {
        const program = `${this.#program}-${index}`;
        const ask = () => turn(gateway, PATHS.kept, newRequestId(), { program });
        expect((await insist(ask)).status).toEqual(OK);
      }
  }

  /** A turn of a program that goes on until its budget is spent. */
  async spend(): Promise<number> {
    const options = { program: `${this.#program}-loop`, budget: BUDGET, most: 4 * TOKENS_PER_EVENT };
    const answer = await insist(() => turn(this.#gateway(), PATHS.turn, newRequestId(), options));
    this.budgetTokens += TOKENS_PER_EVENT * (answer.body.split("\n\n").length - 1);
    return answer.status;
  }

  async #repeat(action: () => Promise<void>): Promise<void> {
    while (!this.#isOver) {
      await action();
      await pause(20);
    }
  }

  async #call(): Promise<void> {
    const id = newRequestId();
    this.calls.set(id, (await call(this.#gateway(), PATHS.unsafe, id)).status);
  }

  async #keptTurn(): Promise<void> {
    const previous = this.kept.at(-1);
    const options = { program: this.#program, ...(previous === undefined ? {} : { previous }) };
    const id = newRequestId();
    const { status } = await turn(this.#gateway(), PATHS.kept, id, options);
    this.keptStatuses.push(status);
    if (status === OK) this.kept.push(id);
  }

  #gateway(): TestGateway {
    this.#next += 1;
    return this.#cluster.gateways[this.#next % GATEWAYS] as TestGateway;
  }
}

/** Asks until an answer comes that is not a promise that nothing was run. */
async function insist(ask: () => Promise<CallerAnswer>): Promise<CallerAnswer> {
  const untilMs = performance.now() + PATIENCE_MS;
  for (;;) {
    const answer = await ask();
    if ((answer.status !== UNAVAILABLE && answer.status !== 0) || performance.now() > untilMs) return answer;
    await pause(50);
  }
}

function keptOutput(id: string): string {
  return [1, 2, 3, 4].map((event) => `${RunnerStandin.eventData(id, event)}\n`).join("");
}

describe("builds side by side", async () => {
  const hasHistory = await GatewayBuild.has(LANDED_COMMIT);
  const skip = hasHistory ? false : `this checkout has no history with ${LANDED_COMMIT}`;
  const builds = new Map<string, GatewayBuild>();

  before(async () => {
    if (!hasHistory) return;
    builds.set("landed", await GatewayBuild.ofCommit(LANDED_COMMIT));
    builds.set("present", await GatewayBuild.ofCheckout());
  });

  after(async () => {
    for (const build of builds.values()) await build.remove();
  });

  for (const [from, to] of [
    ["landed", "present"],
    ["present", "landed"],
  ] as const)
    it(`serve on while the ${from} build is replaced by the ${to} one`, { skip }, async () => {
      const cluster = await RollingCluster.startWith(builds.get(from) as GatewayBuild);
      const load = new Load(cluster, from);
      try {
        load.start();
        await load.spend();
        for (const gateway of cluster.gateways) {
          await cluster.replace(gateway, builds.get(to) as GatewayBuild);
          await load.askAll();
          await load.spend();
        }
        await load.stop();
        let last = OK;
        for (let index = 0; index < BUDGET / TOKENS_PER_EVENT && last === OK; index += 1)
          last = await load.spend();
        expect([last, load.budgetTokens <= BUDGET]).toEqual([SPENT, true]);
        expectCallsOnce(cluster, load);
        expectChainKept(cluster, load);
        for (const [, written] of cluster.logs()) expect(written.includes("unexpected error")).toEqual(false);
      } finally {
        await load.stop();
        await cluster.stop();
      }
    });
});

/** Nothing ran twice, what was refused never, and what was answered once. */
function expectCallsOnce(cluster: RollingCluster, { calls }: Load): void {
  const ran = cluster.services.flatMap((service) => service.executedRequests.map(({ id }) => id));
  expect(new Set(ran).size).toEqual(ran.length);
  for (const [id, status] of calls) {
    if (status === OK) expect(ran.includes(id)).toEqual(true);
    if (status === UNAVAILABLE) expect(ran.includes(id)).toEqual(false);
  }
  const answered = [...calls.values()].filter((status) => status === OK);
  expect(answered.length > 0).toEqual(true);
  // A planned stop closes the port for a moment, and cuts nothing that was taken.
  expect([...calls.values()].filter((status) => ![OK, UNAVAILABLE, 0].includes(status))).toEqual([]);
}

/** No turn of the conversation was denied, and the last one brought all before it to its runner. */
function expectChainKept(cluster: RollingCluster, { kept, keptStatuses }: Load): void {
  expect(keptStatuses.filter((status) => ![OK, UNAVAILABLE, 0].includes(status))).toEqual([]);
  const last = kept.at(-1);
  const run = cluster.engines.flatMap((engine) => engine.executedRequests).findLast(({ id }) => id === last);
  const before = kept.slice(0, -1).map((id) => `input of ${id}\n${keptOutput(id)}`);
  expect(run?.body === `${before.join("")}input of ${last}\n`).toEqual(true);
}
