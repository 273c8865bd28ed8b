/** A caller that runs one program after another: consecutive turns, with calls to services between them. */
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { PATHS, pause } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { CompletedTurn, SoakLedger, SoakProgram } from "./soak-ledger.ts";
import { type SoakAnswer, soakRequest } from "./soak-request.ts";
import { MAX_TURN_TOKENS, turnHeaders } from "./soak-turn.ts";

/** Tokens that the test's engines generate in each event. */
const TOKENS_PER_EVENT = 10;
const MAX_TURNS = 8;
/** Maximum number of concurrent pairs of calls; each pair is a safe call followed by an unsafe one. */
const MAX_CALLS = 3;
const TRIES = 5;
const TIMEOUT_MS = 3_000;
const RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;
/** Share of the programs that loop until their budget is exhausted. */
const LOOPING_SHARE = 0.3;
const CALL_SHARE = 0.8;
const OK = 200;
const BUDGET_EXHAUSTED = 402;
const NOT_FOUND = 404;
const REFUSALS = [429, 503];

/** Runs programs against a soak cluster and records every try in the ledger. */
export class SoakCaller {
  readonly #name: string;
  readonly #cluster: SoakCluster;
  readonly #ledger: SoakLedger;
  readonly #random: SeededRandomSource;
  #requests = 0;
  #programs = 0;

  constructor(name: string, cluster: SoakCluster, ledger: SoakLedger, random: SeededRandomSource) {
    this.#name = name;
    this.#cluster = cluster;
    this.#ledger = ledger;
    this.#random = random;
  }

  /** Runs programs until `isOver`. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) await this.#runProgram(isOver);
  }

  async #runProgram(isOver: () => boolean): Promise<void> {
    this.#programs += 1;
    const loops = this.#random.unit() < LOOPING_SHARE;
    const budget = MAX_TURN_TOKENS * (2 + this.#random.below(MAX_TURNS));
    const program = { name: `${this.#name}-program-${this.#programs}`, budget, receivedTokens: 0 };
    this.#ledger.programs.push(program);
    const turns = loops ? Number.POSITIVE_INFINITY : 1 + this.#random.below(MAX_TURNS);
    let last: CompletedTurn | undefined;
    for (let turn = 0; turn < turns && !isOver(); turn += 1) {
      const next = await this.#runTurn(program, last);
      if (!next) return;
      last = next;
      if (this.#random.unit() < CALL_SHARE) await this.#callServices();
    }
  }

  /** Retries a turn until it is answered completely; returns undefined if the program has to end. */
  async #runTurn(program: SoakProgram, last: CompletedTurn | undefined): Promise<CompletedTurn | undefined> {
    for (let count = 0; count < TRIES; count += 1) {
      const id = this.#newId();
      const prompt = `${last?.conversation ?? ""}input of ${id}\n`;
      this.#ledger.prompts.set(id, prompt);
      const answer = await this.#sendTurn(program, id, last);
      const events = parseEvents(answer.body, answer.status);
      program.receivedTokens += events.length * TOKENS_PER_EVENT;
      if (program.receivedTokens > program.budget)
        this.#ledger.recordBroken(
          "budget",
          `${program.name}: ${program.receivedTokens} of ${program.budget} tokens`,
        );
      if (answer.status === NOT_FOUND) {
        this.#ledger.recordBroken(
          "retained turns",
          `${id}: ${last?.id} was answered whole, and is not there`,
        );
      }
      if (answer.status === BUDGET_EXHAUSTED || answer.status === NOT_FOUND) return undefined;
      if (answer.status === OK && answer.whole) {
        this.#checkEvents(id, events);
        return this.#ledger.recordTurn(id, `${prompt}${events.map((data) => `${data}\n`).join("")}`);
      }
      await pause(Math.min(MAX_RETRY_MS, answer.retryAfterMs ?? RETRY_MS));
    }
    return undefined;
  }

  async #sendTurn(program: SoakProgram, id: string, last: CompletedTurn | undefined): Promise<SoakAnswer> {
    const { name, budget } = program;
    const headers = turnHeaders({ id, program: name, budget, previous: last?.id });
    return this.#send("turn", PATHS.kept, id, headers, `input of ${id}\n`);
  }

  #checkEvents(id: string, events: readonly string[]): void {
    const expected = [1, 2, 3, 4].map((event) => `${id}-${event}`);
    if (events.join() !== expected.join())
      this.#ledger.recordBroken("whole answers", `${id} got the events ${events.join()}`);
  }

  async #callServices(): Promise<void> {
    const calls = 1 + this.#random.below(MAX_CALLS);
    await Promise.all(Array.from({ length: calls }, () => this.#callPair()));
  }

  async #callPair(): Promise<void> {
    const safe = this.#newId();
    const answer = await this.#send("safe", PATHS.safe, safe, { "X-Request-Id": safe }, `input of ${safe}`);
    this.#checkPlain(safe, answer);
    const unsafe = this.#newId();
    const outcome = await this.#send(
      "unsafe",
      PATHS.unsafe,
      unsafe,
      { "X-Request-Id": unsafe },
      `input of ${unsafe}`,
    );
    this.#checkPlain(unsafe, outcome);
  }

  #checkPlain(id: string, answer: SoakAnswer): void {
    if (answer.status === OK && answer.whole && answer.body !== `done ${id}`)
      this.#ledger.recordBroken("whole answers", `${id} got ${answer.body}`);
    if (answer.status === NOT_FOUND) this.#ledger.recordBroken("configuration", `${id} found no route`);
    if (REFUSALS.includes(answer.status) && answer.retryAfterMs === undefined)
      this.#ledger.recordBroken("refusals", `${id} was not told when to come back`);
  }

  async #send(
    kind: "turn" | "safe" | "unsafe",
    path: string,
    id: string,
    headers: Record<string, string>,
    body: string,
  ): Promise<SoakAnswer> {
    const { gateways } = this.#cluster;
    const gateway = gateways[this.#random.below(gateways.length)];
    if (!gateway) throw new Error("the cluster has no gateways");
    const answer = await soakRequest(this.#cluster.throughProxy(gateway), path, headers, body, TIMEOUT_MS);
    const { status, whole } = answer;
    this.#ledger.note({ id, kind, gateway: gateway.name, status, whole });
    if (answer.answeredRequestId !== undefined && answer.answeredRequestId !== id)
      this.#ledger.recordBroken("whole answers", `${id} got the answer to ${answer.answeredRequestId}`);
    return answer;
  }

  #newId(): string {
    this.#requests += 1;
    return `${this.#name}-${this.#requests}`;
  }
}

/** Returns the data of the complete events of a stream; none for an answer with another status than 200. */
function parseEvents(body: string, status: number): string[] {
  if (status !== OK) return [];
  const events = body.split(/\r?\n\r?\n/).slice(0, -1);
  return events.map((event) => /^data: (.*?)\r?$/m.exec(event)?.[1] ?? "");
}
