import type { Problem } from "../../src/errors/problem.ts";
import { problemOfError } from "../../src/errors/tulipwheel-error.ts";
import type { CallResult } from "../../src/node/ingress/call-session.ts";
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { CallRequest } from "../../src/scheduling/program/records.ts";
import type { Observations, ObservedTurn } from "./observations.ts";
import type { IngressSlot, World } from "./world.ts";

export const TENANT = "magnolia";
export const TEMPLATE = "pay-run";
const PATIENCE_MS = 25_000;
const WATCH_INGRESS_MS = 25;
const CHARACTERS_PER_TOKEN = 4;
const MAX_TRIES = 6;
const RETRY_PAUSE_MS = 700;
/** Probability that a program begins with two concurrent turns. */
const PAIR_PROBABILITY = 0.5;

/** The end of a call as an HTTP client would observe it: the result, or a broken connection. */
type CallOutcome = CallResult | { readonly type: "cut" };

interface Turn {
  readonly question: string;
  readonly tokens: number;
  readonly number?: number;
}

/** A caller that runs one program at a time, with turns, charges and occasional sub-agents. */
export class Caller {
  readonly #world: World;
  readonly #observations: Observations;
  readonly #random: SeededRandomSource;
  readonly #name: string;
  #step = 0;

  constructor(world: World, observations: Observations, random: SeededRandomSource, name: string) {
    this.#world = world;
    this.#observations = observations;
    this.#random = random;
    this.#name = name;
  }

  /** Opens and runs programs until `endMs`. */
  async run(endMs: number): Promise<void> {
    while (this.#world.time.nowMs < endMs) {
      const program = await this.#open(undefined);
      if (program) await this.#work(program, endMs, true);
      await this.#pause(300);
    }
  }

  async #work(program: string, endMs: number, mayBranch: boolean): Promise<void> {
    if (this.#random.unit() < PAIR_PROBABILITY) await this.#takeTwoTurns(program);
    const steps = 3 + this.#random.below(6);
    for (let step = 0; step < steps && this.#world.time.nowMs < endMs; step++) {
      const dice = this.#random.unit();
      if (dice < 0.55) await this.#turn(program);
      else if (dice < 0.85) await this.#charge(program);
      else if (mayBranch) await this.#runSubAgent(program, endMs);
      await this.#pause(900);
    }
    await this.#close(program);
  }

  /** Runs a sub-agent that has its own history, while the parent waits. */
  async #runSubAgent(parent: string, endMs: number): Promise<void> {
    const child = await this.#open({ program: parent, afterCall: 0 });
    if (child) await this.#work(child, endMs, false);
  }

  async #open(parent: { program: string; afterCall: number } | undefined): Promise<string | undefined> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const parameters = { tenant: TENANT, template: TEMPLATE, parent, deadlineMs: undefined };
      const opened = await this.#withIngress((slot) => slot.ingress.openProgram(parameters));
      if (opened.type === "value") return opened.value.id;
      await this.#pause(RETRY_PAUSE_MS);
    }
    return undefined;
  }

  async #close(program: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_TRIES * 3; attempt++) {
      const read = await this.#withIngress((slot) => slot.ingress.readProgram(program, TENANT));
      if (read.type === "value") {
        const messages = read.value.history.map(({ role, content }) => ({ role, content }));
        this.#observations.histories.push({ program, messages });
        break;
      }
      await this.#pause(RETRY_PAUSE_MS);
    }
    for (let attempt = 0; attempt < MAX_TRIES * 3; attempt++) {
      const ended = await this.#withIngress((slot) => slot.ingress.endProgram(program, TENANT));
      if (ended.type === "value") return;
      await this.#pause(RETRY_PAUSE_MS);
    }
  }

  async #turn(program: string): Promise<void> {
    const tokens = 3 + this.#random.below(60);
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const question = `${this.#name} step ${this.#nextStep()} #tokens=${tokens}`;
      const outcome = await this.#askOnce(program, { question, tokens });
      if (outcome === "answered" || outcome === "unknown") return;
      await this.#pause(RETRY_PAUSE_MS);
    }
  }

  /** Sends two concurrent turns, the later one first. They must run in the order of their numbers. */
  async #takeTwoTurns(program: string): Promise<void> {
    const turns = [1, 2].map((number) => ({
      number,
      question: `${this.#name} step ${this.#nextStep()} #tokens=${5 * number}`,
      tokens: 5 * number,
    }));
    const late = this.#runTurn(program, turns[1]);
    await this.#pause(30);
    const observed = [await this.#runTurn(program, turns[0]), await late];
    for (const turn of observed) this.#observe(program, turn.observed, turn.seen);
  }

  async #askOnce(program: string, turn: Turn): Promise<string> {
    const { observed, seen } = await this.#runTurn(program, turn);
    this.#observe(program, observed, seen);
    return observed.outcome;
  }

  #observe(program: string, observed: ObservedTurn, seen: CallOutcome): void {
    this.#observations.turns.push(observed);
    this.#recordCall(program, "turn", observed.question, seen);
  }

  async #runTurn(
    program: string,
    { question, tokens, number }: Turn,
  ): Promise<{ observed: ObservedTurn; seen: CallOutcome }> {
    let streamed = "";
    const request: CallRequest = {
      type: "completion",
      model: "agent-llm",
      messages: [{ role: "user", content: question }],
      maxTokens: 100,
    };
    const restart = () => {
      streamed = "";
    };
    const seen = await this.#call(
      program,
      question,
      request,
      (text) => {
        streamed += text;
      },
      restart,
      number,
    );
    const outcome = outcomeOf(seen);
    const answer =
      seen.type === "answered" && seen.answer.type === "completion" ? seen.answer.text : undefined;
    const expectedLength = tokens * CHARACTERS_PER_TOKEN;
    const interrupted = seen.type === "failed" && seen.problem.kind === "answer-interrupted";
    return { observed: { program, question, expectedLength, streamed, outcome, interrupted, answer }, seen };
  }

  async #charge(program: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const body = `${this.#name} charge ${this.#nextStep()}`;
      const request: CallRequest = {
        type: "service",
        service: "pay-api",
        method: "POST",
        path: "/charges",
        contentType: "text/plain",
        body,
        idempotencyKey: body,
        neverRepeat: false,
      };
      const seen = await this.#call(
        program,
        body,
        request,
        () => undefined,
        () => undefined,
      );
      const outcome = outcomeOf(seen);
      this.#observations.charges.push({ program, body, outcome });
      this.#recordCall(program, "charge", body, seen);
      if (outcome === "answered" || outcome === "unknown") return;
      await this.#pause(RETRY_PAUSE_MS);
    }
  }

  /** Makes a call. If its ingress dies, repeats the same call through another ingress. */
  async #call(
    program: string,
    key: string,
    request: CallRequest,
    onText: (text: string) => void,
    restart: () => void,
    number?: number,
  ): Promise<CallOutcome> {
    const untilMs = this.#world.time.nowMs + PATIENCE_MS * 2;
    for (;;) {
      const seen = await this.#callOnce(program, key, request, onText, number);
      if (seen.type !== "cut" || this.#world.time.nowMs > untilMs) return seen;
      restart();
      await this.#pause(RETRY_PAUSE_MS);
    }
  }

  async #callOnce(
    program: string,
    key: string,
    request: CallRequest,
    onText: (text: string) => void,
    number: number | undefined,
  ): Promise<CallOutcome> {
    const parameters = {
      tenant: TENANT,
      program,
      number,
      idempotencyKey: key,
      request,
      patienceMs: PATIENCE_MS,
      streamed: true,
    };
    const made = await this.#withIngress(async (slot) => {
      const session = await slot.ingress.makeCall(parameters, onText);
      return session.result;
    });
    if (made.type === "value") return made.value;
    if (made.type === "cut") return { type: "cut" };
    return { type: "failed", problem: made.problem };
  }

  /** Runs an operation through a random live ingress, and resolves to `cut` if the ingress dies meanwhile. */
  #withIngress<Value>(work: (slot: IngressSlot) => Promise<Value>): Promise<Through<Value>> {
    const living = this.#world.ingresses.filter((slot) => slot.process.alive);
    if (living.length === 0) return Promise.resolve({ type: "cut" });
    const slot = living[this.#random.below(living.length)];
    const { process } = slot;
    return new Promise((resolve) => {
      const watch = () => {
        if (!process.alive) resolve({ type: "cut" });
        else if (!settled) this.#world.time.after(WATCH_INGRESS_MS, watch);
      };
      let settled = false;
      this.#world.time.after(WATCH_INGRESS_MS, watch);
      work(slot).then(
        (value) => {
          settled = true;
          resolve({ type: "value", value });
        },
        (error) => {
          settled = true;
          resolve({ type: "problem", problem: problemOfError(error) });
        },
      );
    });
  }

  #recordCall(program: string, kind: string, text: string, seen: CallOutcome): void {
    const why = seen.type === "failed" ? ` ${seen.problem.kind}: ${seen.problem.detail}` : "";
    this.#world.note(`${kind} "${text}" of ${program}: ${outcomeOf(seen)}${why}`);
    if (seen.type !== "answered") this.#observations.failures += 1;
  }

  #nextStep(): number {
    this.#step += 1;
    return this.#step;
  }

  #pause(maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#world.time.after(20 + this.#random.below(maxMs), resolve);
    });
  }
}

type Through<Value> =
  | { readonly type: "value"; readonly value: Value }
  | { readonly type: "problem"; readonly problem: Problem }
  | { readonly type: "cut" };

function outcomeOf(seen: CallOutcome) {
  if (seen.type === "answered") return "answered" as const;
  return seen.type === "cut" ? ("unknown" as const) : seen.problem.outcome;
}
