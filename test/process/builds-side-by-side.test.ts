/** Tests a rolling upgrade and a rolling downgrade between an earlier build and the current one. */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { GatewayBuild } from "./support/gateway-build.ts";
import { type CallerAnswer, call, newRequestId, turn } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";
import { TestAddresses } from "./support/test-addresses.ts";

/** Commit of the build that may still run while the current one is rolled out. */
const PREVIOUS_COMMIT = "524fb38";
const GATEWAYS = 3;
const TOKENS_PER_EVENT = 10;
const BUDGET = 200;
const OK = 200;
const BUDGET_EXHAUSTED = 402;
const UNAVAILABLE = 503;
const RETRY_TIMEOUT_MS = 10_000;

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

  protected override get initialScript(): string {
    return this.#first.script;
  }

  protected override get extraSettings(): object {
    return { timing: { lingerMs: 500 } };
  }

  /** Stops a gateway with SIGTERM and starts another build in its place. */
  async replace(gateway: TestGateway, build: GatewayBuild): Promise<void> {
    gateway.process.signal("SIGTERM");
    await gateway.process.exited;
    gateway.script = build.script;
    this.restart(gateway);
    await this.ready();
  }
}

/** Generates load: sends calls and turns to the gateways in turn. */
class Load {
  readonly #cluster: RollingCluster;
  readonly #program: string;
  #next = 0;
  #isOver = false;
  #loops: Promise<void>[] = [];
  /** Statuses of unsafe calls, which may run at most once, by request identifier. */
  readonly calls = new Map<string, number>();
  /** Request identifiers of the retained turns of a conversation, in order. */
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

  /** Sends a turn of each of several programs through every gateway, so that each uses the owners of all partitions. */
  async sendTurnsThroughAll(): Promise<void> {
    for (const gateway of this.#cluster.gateways)
      for (let index = 0; index < 8; index += 1) {
        const program = `${this.#program}-${index}`;
        const ask = () => turn(gateway, PATHS.kept, newRequestId(), { program });
        expect((await retryWhileUnavailable(ask)).status).toEqual(OK);
      }
  }

  /** Sends a turn of a program that continues until its budget is exhausted; returns the status. */
  async spendBudget(): Promise<number> {
    const options = { program: `${this.#program}-loop`, budget: BUDGET, maxTokens: 4 * TOKENS_PER_EVENT };
    const answer = await retryWhileUnavailable(() =>
      turn(this.#gateway(), PATHS.turn, newRequestId(), options),
    );
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

/** Repeats a request while its answer is 503 (nothing was run) or there is none, up to a timeout. */
async function retryWhileUnavailable(ask: () => Promise<CallerAnswer>): Promise<CallerAnswer> {
  const untilMs = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    const answer = await ask();
    if ((answer.status !== UNAVAILABLE && answer.status !== 0) || performance.now() > untilMs) return answer;
    await pause(50);
  }
}

function keptOutput(id: string): string {
  return [1, 2, 3, 4].map((event) => `${RunnerStandin.eventData(id, event)}\n`).join("");
}

describe("rolling replacement of builds", async () => {
  const hasHistory = await GatewayBuild.isCommitAvailable(PREVIOUS_COMMIT);
  const skip = hasHistory ? false : `the git history of this checkout does not contain ${PREVIOUS_COMMIT}`;
  const builds = new Map<string, GatewayBuild>();

  before(async () => {
    if (!hasHistory) return;
    builds.set("earlier", await GatewayBuild.ofCommit(PREVIOUS_COMMIT));
    builds.set("current", await GatewayBuild.ofCheckout());
  });

  after(async () => {
    for (const build of builds.values()) await build.remove();
  });

  for (const [from, to] of [
    ["earlier", "current"],
    ["current", "earlier"],
  ] as const)
    it(`keeps serving while the ${from} build is replaced by the ${to} one`, { skip }, async () => {
      const cluster = await RollingCluster.startWith(builds.get(from) as GatewayBuild);
      const load = new Load(cluster, from);
      try {
        load.start();
        await load.spendBudget();
        for (const gateway of cluster.gateways) {
          await cluster.replace(gateway, builds.get(to) as GatewayBuild);
          await load.sendTurnsThroughAll();
          await load.spendBudget();
        }
        await load.stop();
        let last = OK;
        for (let index = 0; index < BUDGET / TOKENS_PER_EVENT && last === OK; index += 1)
          last = await load.spendBudget();
        expect([last, load.budgetTokens <= BUDGET]).toEqual([BUDGET_EXHAUSTED, true]);
        expectAtMostOneRun(cluster, load);
        expectHistoryKept(cluster, load);
        for (const [, written] of cluster.logs()) expect(written.includes("unexpected error")).toEqual(false);
      } finally {
        await load.stop();
        await cluster.stop();
      }
    });
});

/** Expects that no call ran twice, that refused calls did not run, and that answered calls ran once. */
function expectAtMostOneRun(cluster: RollingCluster, { calls }: Load): void {
  const ran = cluster.services.flatMap((service) => service.executedRequests.map(({ id }) => id));
  expect(new Set(ran).size).toEqual(ran.length);
  for (const [id, status] of calls) {
    if (status === OK) expect(ran.includes(id)).toEqual(true);
    if (status === UNAVAILABLE) expect(ran.includes(id)).toEqual(false);
  }
  const answered = [...calls.values()].filter((status) => status === OK);
  expect(answered.length > 0).toEqual(true);
  // A planned stop closes the port for a moment, but interrupts no accepted request.
  expect([...calls.values()].filter((status) => ![OK, UNAVAILABLE, 0].includes(status))).toEqual([]);
}

/** Expects that no turn of the conversation was denied, and that the last one's runner got all turns before it. */
function expectHistoryKept(cluster: RollingCluster, { kept, keptStatuses }: Load): void {
  expect(keptStatuses.filter((status) => ![OK, UNAVAILABLE, 0].includes(status))).toEqual([]);
  const last = kept.at(-1);
  const run = cluster.engines.flatMap((engine) => engine.executedRequests).findLast(({ id }) => id === last);
  const before = kept.slice(0, -1).map((id) => `input of ${id}\n${keptOutput(id)}`);
  expect(run?.body === `${before.join("")}input of ${last}\n`).toEqual(true);
}
