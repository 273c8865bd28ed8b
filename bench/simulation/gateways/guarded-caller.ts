/** A caller that sends one request again and again, and the runs that gateways make of it. */
import { GuardedRuns } from "../../../src/gateway/poison-requests/guarded-runs.ts";
import type { CallContext } from "../../../src/ports/call-protocol.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import { ENDING_POOL, type EndingRunner, type EndingRunners } from "./ending-runners.ts";
import type { GatewayWorld } from "./gateway-world.ts";
import type { SimulatedGateway } from "./simulated-gateway.ts";

const DEADLINE_MS = 3_000;
const MAX_TRIES = 6;
const MIN_RETRY_MS = 100;
const MAX_RUN_MS = 800;
/** Largest part of a run after which a poison request ends its runner. */
const MAX_POISON_MS = 200;
const ADMISSION_RETRY_MS = 40;
/** Longer than a gateway takes to notice that a connection to a runner was reset, in ms. */
const NOTICE_MS = 2;

/** How a try has ended for its caller. */
export type TryEnd = "answered" | "heldBack" | "failed";

/** A request, whose tries are told apart by their identifiers only. */
export class GuardedCaller {
  readonly name: string;
  /** Whether each of its runs ends the runner. */
  readonly isPoison: boolean;
  /** The runners that its runs have ended. */
  readonly endedRunners = new Set<RunnerId>();
  /** Of these, the runners whose end the gateway did not live to see. */
  unseenEnds = 0;
  /** What has ended the runners of its runs. */
  readonly causes: string[] = [];
  /** What the runs have met, for the report of a broken guarantee. */
  readonly trace: string[] = [];
  readonly ends: TryEnd[] = [];
  readonly #world: GatewayWorld;
  readonly #runners: EndingRunners;

  constructor(name: string, isPoison: boolean, world: GatewayWorld, runners: EndingRunners) {
    this.name = name;
    this.isPoison = isPoison;
    this.#world = world;
    this.#runners = runners;
  }

  /** Sends the request until it is answered or the tries are used up. */
  send(): void {
    const gateway = this.#world.drawServing();
    if (!gateway) return this.#end("failed");
    gateway.probe = async (address) => this.#runners.probe(address);
    const request = `${this.name}-${this.ends.length}` as RequestId;
    const call = { requestId: request, program: undefined } as CallContext;
    const content = { method: "POST", target: "/", body: Buffer.from(this.name), call, tenant: undefined };
    const clock = gateway.process;
    const guarded = { pool: ENDING_POOL, request, content: () => content };
    const runs = new GuardedRuns(gateway.guard, guarded, () => clock.monotonicMs());
    if (runs.isPoison) return this.#end("heldBack");
    new GuardedTry(this, gateway, runs, this.#world, this.#runners, (end) => this.#end(end)).next();
  }

  #end(end: TryEnd): void {
    this.ends.push(end);
    if (end === "answered" || this.ends.length >= MAX_TRIES) return;
    this.#world.time.after(MIN_RETRY_MS * (1 + 3 * this.#world.random.unit()), () => this.send());
  }
}

/** One try at one gateway. */
class GuardedTry {
  readonly #caller: GuardedCaller;
  readonly #gateway: SimulatedGateway;
  readonly #runs: GuardedRuns;
  readonly #world: GatewayWorld;
  readonly #runners: EndingRunners;
  readonly #onEnd: (end: TryEnd) => void;
  readonly #untilMs: number;
  readonly #excluded = new Set<RunnerId>();
  #isOver = false;

  constructor(
    caller: GuardedCaller,
    gateway: SimulatedGateway,
    runs: GuardedRuns,
    world: GatewayWorld,
    runners: EndingRunners,
    onEnd: (end: TryEnd) => void,
  ) {
    this.#caller = caller;
    this.#gateway = gateway;
    this.#runs = runs;
    this.#world = world;
    this.#runners = runners;
    this.#onEnd = onEnd;
    this.#untilMs = world.time.nowMs + DEADLINE_MS;
    world.time.after(DEADLINE_MS, () => this.#end("failed"));
  }

  /** Makes the next run, as soon as it may begin. */
  next(): void {
    if (this.#isOver) return;
    if (!this.#gateway.serves) return this.#end("failed");
    const runner = this.#chooseRunner();
    if (!runner) return this.#later(() => this.next());
    if (this.#runs.isSuspect) void this.#admit(runner);
    else this.#run(runner);
  }

  #chooseRunner(): EndingRunner | undefined {
    const candidates = this.#runners.running.filter(({ entry }) => !this.#excluded.has(entry.id));
    const apart = candidates.filter(({ entry }) => !this.#runs.shouldAvoid(entry.id));
    const chosen = apart.length > 0 ? apart : candidates;
    return chosen[this.#world.random.below(Math.max(1, chosen.length))];
  }

  async #admit(runner: EndingRunner): Promise<void> {
    const verdict = await this.#runs.admit(runner.entry, this.#untilMs - this.#world.time.nowMs);
    if (this.#isOver) return this.#runs.end();
    this.#caller.trace.push(`${this.#world.time.nowMs} ms ${verdict} at ${runner.entry.id}`);
    if (verdict === "granted") this.#run(runner);
    else if (verdict === "poison") this.#end("heldBack");
    else this.#later(() => this.next());
  }

  #run(runner: EndingRunner): void {
    const { time, random } = this.#world;
    if (runner.hasEnded) {
      this.#excluded.add(runner.entry.id);
      this.#runs.end();
      return this.next();
    }
    const run = {
      onBroken: () => {
        runner.runs.delete(run);
        time.after(random.unit() * NOTICE_MS, () => void this.#onBroken(runner));
      },
    };
    runner.runs.add(run);
    const lasts = random.unit() * (this.#caller.isPoison ? MAX_POISON_MS : MAX_RUN_MS);
    time.after(lasts, () => {
      if (!runner.runs.delete(run)) return;
      if (!this.#caller.isPoison) return this.#complete();
      this.#caller.endedRunners.add(runner.entry.id);
      runner.runs.add(run);
      this.#runners.end(runner, this.#caller.name);
    });
  }

  async #onBroken(runner: EndingRunner): Promise<void> {
    const { name, trace, causes } = this.#caller;
    causes.push(runner.endedBy);
    trace.push(`${this.#world.time.nowMs} ms ${runner.entry.id} ended by ${runner.endedBy}`);
    if (!this.#gateway.serves && runner.endedBy === name) this.#caller.unseenEnds += 1;
    if (this.#isOver || !this.#gateway.serves) return this.#end("failed");
    this.#excluded.add(runner.entry.id);
    await this.#runs.checkBreak(runner.entry);
    this.next();
  }

  #complete(): void {
    if (this.#isOver || !this.#gateway.serves) return this.#end("failed");
    this.#runs.endWhole();
    this.#end("answered");
  }

  #end(end: TryEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#runs.end();
    this.#onEnd(end);
  }

  #later(action: () => void): void {
    this.#world.time.after(ADMISSION_RETRY_MS * (1 + this.#world.random.unit()), action);
  }
}
