/**
 * Simulates an inference engine without running a model: continuous batching in steps, chunked prefill, a prefix cache
 * of limited size, priorities, resumption, cancellation, orders with fencing tokens, and delayed load reports. It does
 * no I/O and takes the time as an argument, so the HTTP stand-in, the simulation and the emulator share it.
 */
import type {
  CacheEvent,
  EngineHold,
  EngineLoad,
  EngineOrder,
  EngineRefusal,
  GenerateRequest,
  GenerateResult,
} from "../../src/ports/engine/engine-client.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import { answerTokenCount, GeneratedText } from "./generated-text.ts";
import { type CacheChange, CHARACTERS_PER_TOKEN, countTokens, PrefixCache } from "./prefix-cache.ts";

/** Options of an {@link EngineModel}. */
export interface EngineModelOptions {
  readonly name: string;
  readonly models: readonly string[];
  /** Maximum number of sequences in a batch. Default 16. */
  readonly slots?: number;
  /** Capacity of the prefix cache, in tokens of key-value memory. Default 200,000. */
  readonly kvTokens?: number;
  /** Duration of a step with an empty batch, in ms. Default 10. */
  readonly stepMs?: number;
  /** Time that each sequence adds to a step, in ms. Default 0.1. */
  readonly stepMsPerSequence?: number;
  /** Maximum number of prompt tokens processed in a step. Default 2,048. */
  readonly prefillTokensPerStep?: number;
  /** Time that each prompt token adds to a step, in ms. Default 0.01. */
  readonly prefillMsPerToken?: number;
  /** Maximum age of the reported load, in ms. Default 500. */
  readonly loadLagMs?: number;
  /** Delay before a cache event can be read, in ms. Default 1,000. */
  readonly eventDelayMs?: number;
  /** Fraction of the cache events that are lost. Default 0.05. */
  readonly eventLoss?: number;
  /** Maximum number of requests in the engine's queue. Default 64. */
  readonly maxWaiting?: number;
  /** Whether all engines generate the same text for the same prompt. Default true. */
  readonly sameTextEverywhere?: boolean;
}

/** Receives the progress of a generation. */
export interface GenerationSink {
  onChunk(offset: number, text: string): void;
  onEnd(result: Extract<GenerateResult, { type: "completed" }>): void;
}

interface Sequence {
  readonly request: GenerateRequest;
  readonly sink: GenerationSink;
  readonly text: GeneratedText;
  readonly targetTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly arrivedMs: number;
  prefillTokensLeft: number;
  generated: string;
  generatedTokens: number;
}

/** Totals since the engine started. */
export interface EngineTotals {
  promptTokens: number;
  cachedTokens: number;
  prefilledTokens: number;
  generatedTokens: number;
  completed: number;
  cancelled: number;
  refused: number;
}

const DEFAULT_OPTIONS = {
  slots: 16,
  kvTokens: 200_000,
  stepMs: 10,
  stepMsPerSequence: 0.1,
  prefillTokensPerStep: 2_048,
  prefillMsPerToken: 0.01,
  loadLagMs: 500,
  eventDelayMs: 1_000,
  eventLoss: 0.05,
  maxWaiting: 64,
  sameTextEverywhere: true,
};

const MAX_EVENTS = 1_000;

/** An engine's queue, batch, prefix cache and reports. */
export class EngineModel {
  readonly options: Required<EngineModelOptions>;
  readonly totals: EngineTotals = {
    promptTokens: 0,
    cachedTokens: 0,
    prefilledTokens: 0,
    generatedTokens: 0,
    completed: 0,
    cancelled: 0,
    refused: 0,
  };
  readonly #hash: TextHash;
  readonly #random: SeededRandomSource;
  readonly #cache: PrefixCache;
  readonly #models: Set<string>;
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  #events: (CacheEvent & { readonly atMs: number })[] = [];
  #nextEventNumber = 1;
  #newestFencingToken = 0;
  #leaving = false;
  #role: "mixed" | "prefill" | "decode" = "mixed";
  #reported: EngineLoad = { running: [], waiting: 0, usedKvTokens: 0, leaving: false, ageMs: 0 };
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EngineModelOptions, hash: TextHash) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
    this.#hash = hash;
    this.#random = new SeededRandomSource(hash.hash32(options.name));
    this.#cache = new PrefixCache(this.options.kvTokens, hash.hash64);
    this.#models = new Set(options.models);
  }

  /** Whether any request is running or waiting. */
  get hasWork(): boolean {
    return this.#running.length > 0 || this.#waiting.length > 0;
  }

  /** Number of sequences in the batch. */
  get runningCount(): number {
    return this.#running.length;
  }

  /** The engine's current role. */
  get role(): "mixed" | "prefill" | "decode" {
    return this.#role;
  }

  /** The models that are loaded. */
  get models(): readonly string[] {
    return [...this.#models];
  }

  /** Whether the engine is leaving and refuses new requests. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** Sets whether the engine is leaving. While it is, new requests are refused. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
  }

  /** Adds a request to the queue. Returns the reason if the request is refused. */
  submit(request: GenerateRequest, sink: GenerationSink, nowMs: number): EngineRefusal | undefined {
    const refusal = this.#findRefusal(request);
    if (refusal) {
      this.totals.refused += 1;
      return refusal;
    }
    this.#newestFencingToken = request.fencingToken;
    this.#waiting.push(this.#createSequence(request, sink, nowMs));
    return undefined;
  }

  /** Removes a request from the batch or the queue. Returns whether it was found. */
  cancel(requestId: string): boolean {
    const before = this.#running.length + this.#waiting.length;
    this.#running = this.#running.filter((sequence) => sequence.request.requestId !== requestId);
    this.#waiting = this.#waiting.filter((sequence) => sequence.request.requestId !== requestId);
    const cancelled = this.#running.length + this.#waiting.length < before;
    if (cancelled) this.totals.cancelled += 1;
    return cancelled;
  }

  /** Begins a step and returns its duration, in ms. Call {@link finishStep} after that time. */
  beginStep(): number {
    this.#fillBatch();
    const { stepMs, stepMsPerSequence, prefillMsPerToken } = this.options;
    const prefill = this.#planPrefill().reduce((sum, { tokens }) => sum + tokens, 0);
    return stepMs + stepMsPerSequence * this.#running.length + prefillMsPerToken * prefill;
  }

  /** Ends a step: advances the prefill of prompts, and generates one token for every other sequence. */
  finishStep(nowMs: number): void {
    const planned = this.#planPrefill();
    const prefilling = new Set(planned.map(({ sequence }) => sequence));
    for (const { sequence, tokens } of planned) {
      sequence.prefillTokensLeft -= tokens;
      this.totals.prefilledTokens += tokens;
    }
    for (const sequence of [...this.#running]) {
      if (sequence.prefillTokensLeft === 0 && !prefilling.has(sequence)) this.#decode(sequence, nowMs);
    }
  }

  /** The load as of the last refresh, up to `loadLagMs` old. */
  load(nowMs: number): EngineLoad {
    if (nowMs - this.#reportedAtMs >= this.options.loadLagMs) {
      this.#reportedAtMs = nowMs;
      this.#reported = {
        running: [...this.#running, ...this.#waiting].map((sequence) => sequence.request.requestId),
        waiting: this.#waiting.length,
        usedKvTokens: this.#cache.usedTokens,
        leaving: this.#leaving,
        ageMs: 0,
      };
    }
    return { ...this.#reported, leaving: this.#leaving, ageMs: nowMs - this.#reportedAtMs };
  }

  /** Cached tokens per program. */
  holds(): EngineHold[] {
    return [...this.#cache.holds()].map(([program, tokens]) => ({ program, tokens }));
  }

  /** Cache events with a number above `after` that are old enough to be read. */
  cacheEvents(after: number, nowMs: number): CacheEvent[] {
    const readable = this.#events.filter(
      (event) => event.number > after && nowMs - event.atMs >= this.options.eventDelayMs,
    );
    return readable.map(({ number, type, program, tokens }) => ({ number, type, program, tokens }));
  }

  /** Executes an order. Returns false if its fencing token is older than the newest one seen. */
  order(order: EngineOrder, fencingToken: number, nowMs: number): boolean {
    if (fencingToken < this.#newestFencingToken) return false;
    this.#newestFencingToken = fencingToken;
    switch (order.type) {
      case "release":
        this.#publish(this.#cache.release(order.program), nowMs);
        break;
      case "load":
        this.#models.add(order.model);
        break;
      case "unload":
        this.#models.delete(order.model);
        break;
      case "role":
        this.#role = order.role;
        break;
    }
    return true;
  }

  /** Imports a program's cache from another engine. Returns false if the fencing token is stale. */
  importCache(
    program: string,
    messages: GenerateRequest["messages"],
    fencingToken: number,
    nowMs: number,
  ): boolean {
    if (fencingToken < this.#newestFencingToken) return false;
    this.#newestFencingToken = fencingToken;
    this.#publish(this.#cache.store(program, messages, nowMs), nowMs);
    return true;
  }

  #findRefusal(request: GenerateRequest): EngineRefusal | undefined {
    if (request.fencingToken < this.#newestFencingToken) return "stale-token";
    if (this.#leaving) return "leaving";
    if (!this.#models.has(request.model)) return "unknown-model";
    const known = [...this.#running, ...this.#waiting].some(
      (sequence) => sequence.request.requestId === request.requestId,
    );
    return known || this.#waiting.length >= this.options.maxWaiting ? "full" : undefined;
  }

  #createSequence(request: GenerateRequest, sink: GenerationSink, nowMs: number): Sequence {
    const { messages, resumeText, maxTokens } = request;
    const prompt = JSON.stringify(messages) + (this.options.sameTextEverywhere ? "" : this.options.name);
    const seed = this.#hash.hash32(prompt);
    const resumed = Math.floor(resumeText.length / CHARACTERS_PER_TOKEN);
    const promptTokens = messages.reduce((sum, { content }) => sum + countTokens(content), 0);
    const cachedTokens = this.#cache.match(messages, nowMs);
    this.totals.promptTokens += promptTokens;
    this.totals.cachedTokens += cachedTokens;
    return {
      request,
      sink,
      text: new GeneratedText(seed, resumed),
      targetTokens: Math.max(
        answerTokenCount(messages, maxTokens, this.#hash.hash32(JSON.stringify(messages))),
        resumed,
      ),
      promptTokens,
      cachedTokens,
      arrivedMs: nowMs,
      prefillTokensLeft: promptTokens - cachedTokens + resumed,
      generated: resumeText,
      generatedTokens: resumed,
    };
  }

  #fillBatch(): void {
    if (this.#running.length >= this.options.slots || this.#waiting.length === 0) return;
    this.#waiting.sort(
      (left, right) => left.request.priority - right.request.priority || left.arrivedMs - right.arrivedMs,
    );
    while (this.#running.length < this.options.slots) {
      const next = this.#waiting.shift();
      if (!next) return;
      this.#running.push(next);
    }
  }

  #planPrefill(): { sequence: Sequence; tokens: number }[] {
    const planned: { sequence: Sequence; tokens: number }[] = [];
    let budget = this.options.prefillTokensPerStep;
    for (const sequence of this.#running) {
      const tokens = Math.min(sequence.prefillTokensLeft, budget);
      if (tokens <= 0) continue;
      planned.push({ sequence, tokens });
      budget -= tokens;
    }
    return planned;
  }

  #decode(sequence: Sequence, nowMs: number): void {
    if (sequence.generatedTokens < sequence.targetTokens) {
      const text = sequence.text.next();
      const offset = sequence.generated.length;
      sequence.generated += text;
      sequence.generatedTokens += 1;
      this.totals.generatedTokens += 1;
      sequence.sink.onChunk(offset, text);
    }
    if (sequence.generatedTokens >= sequence.targetTokens) this.#complete(sequence, nowMs);
  }

  #complete(sequence: Sequence, nowMs: number): void {
    const { request, promptTokens, cachedTokens, generated, generatedTokens } = sequence;
    this.#running = this.#running.filter((other) => other !== sequence);
    this.totals.completed += 1;
    const answer = { role: "assistant", content: generated };
    this.#publish(this.#cache.store(request.program, [...request.messages, answer], nowMs), nowMs);
    sequence.sink.onEnd({
      type: "completed",
      finishReason: generatedTokens >= request.maxTokens ? "length" : "stop",
      usage: { promptTokens, completionTokens: generatedTokens, cachedTokens },
      length: generated.length,
    });
  }

  #publish(changes: readonly CacheChange[], nowMs: number): void {
    for (const change of changes) {
      const number = this.#nextEventNumber;
      this.#nextEventNumber += 1;
      if (this.#random.unit() < this.options.eventLoss) continue;
      this.#events.push({ ...change, number, atMs: nowMs });
    }
    if (this.#events.length > MAX_EVENTS) this.#events = this.#events.slice(-MAX_EVENTS);
  }
}
