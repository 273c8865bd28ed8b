import type { GenerateResult } from "../../src/ports/engine/engine-client.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import type { ChatMessage } from "../../src/scheduling/program/records.ts";
import { RunnerQueue } from "../../src/scheduling/queue/runner-queue.ts";
import type { SlotRequest } from "../../src/scheduling/queue/slot-request.ts";
import type { RunnerView } from "../../src/scheduling/runner-selection/runner-view.ts";
import { EngineModel } from "../../standins/engine/engine-model.ts";
import type { EngineParameters } from "./engine-parameters.ts";
import type { EventQueue } from "./event-queue.ts";

/** A call that is submitted to a runner. */
export interface EmulatedCall {
  readonly request: SlotRequest;
  readonly messages: readonly ChatMessage[];
  readonly onDone: (result: Extract<GenerateResult, { type: "completed" }>, serviceMs: number) => void;
}

/** High enough that only slots limit the queue: the engine manages its own memory, with eviction. */
const QUEUE_KV_TOKENS = 10_000_000;

/** An engine and its home node, on virtual time: the product's queue in front of the stand-in engine. */
export class EmulatedRunner {
  readonly name: string;
  readonly engine: EngineModel;
  readonly #time: EventQueue;
  /** Maximum number of sequences in a batch. */
  readonly slots: number;
  readonly #queue: RunnerQueue;
  readonly #calls = new Map<string, EmulatedCall>();
  #stepping = false;

  constructor(name: string, figures: EngineParameters, time: EventQueue, hash: TextHash) {
    this.name = name;
    this.slots = figures.slots;
    this.#time = time;
    this.#queue = new RunnerQueue({ slots: this.slots, kvTokens: QUEUE_KV_TOKENS, maxQueued: 1_000_000 });
    this.engine = new EngineModel({ name, models: ["m"], maxWaiting: 1_000, ...figures }, hash);
  }

  /** Number of calls that are queued or running. */
  get outstanding(): number {
    return this.#queue.active + this.#queue.queued;
  }

  /** Returns what a leader would know about the runner. */
  view(): RunnerView {
    return {
      runner: this.name,
      models: ["m"],
      zone: "z",
      address: "",
      home: "home",
      fencingToken: 1,
      leaving: false,
      slots: this.slots,
      expectedWaitMs: this.#queue.expectedWaitMs(),
    };
  }

  /** Queues a call and starts it when a slot is free. */
  submit(call: EmulatedCall): void {
    this.#calls.set(call.request.call, call);
    this.#queue.offer(call.request, this.#time.nowMs);
    this.#grant();
  }

  #grant(): void {
    for (const { request } of this.#queue.grantNext(this.#time.nowMs)) this.#start(request);
  }

  #start(request: SlotRequest): void {
    const call = this.#calls.get(request.call);
    if (!call) return;
    this.#calls.delete(request.call);
    const startMs = this.#time.nowMs;
    const generate = {
      requestId: request.call,
      program: request.program,
      model: "m",
      messages: call.messages,
      maxTokens: request.maxTokens,
      priority: 1,
      fencingToken: 1,
      resumeText: "",
    };
    const onEnd = (result: Extract<GenerateResult, { type: "completed" }>) => {
      this.#queue.release(request.call, request.attempt, this.#time.nowMs);
      this.#grant();
      call.onDone(result, this.#time.nowMs - startMs);
    };
    this.engine.submit(generate, { onChunk: () => undefined, onEnd }, startMs);
    this.#step();
  }

  #step(): void {
    if (this.#stepping || !this.engine.hasWork) return;
    this.#stepping = true;
    this.#time.after(this.engine.beginStep(), () => {
      this.#stepping = false;
      this.engine.finishStep(this.#time.nowMs);
      this.#step();
    });
  }
}
