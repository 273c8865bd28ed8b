import { platformError } from "../../src/errors/tulipwheel-error.ts";
import type {
  Cancellation,
  EngineClient,
  EngineOrder,
  GeneratedChunk,
  GenerateRequest,
  GenerateResult,
} from "../../src/ports/engine/engine-client.ts";
import type { ServiceClient, ServiceResult } from "../../src/ports/service/service-client.ts";
import type { RandomSource } from "../../src/runtime/random-source.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import type { ServiceRequest } from "../../src/scheduling/program/records.ts";
import { EngineModel, type EngineModelOptions } from "../../standins/engine/engine-model.ts";
import type { ServiceModel } from "../../standins/service/service-model.ts";
import type { SimulatedNetwork } from "./simulated-network.ts";
import { SimulatedProcess, type VirtualTime } from "./virtual-time.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const STREAM_IDLE_TIMEOUT_MS = 15_000;
const HANG_MS = 60_000;
const MIN_SERVICE_MS = 20;
const SERVICE_RANGE_MS = 800;

/** An engine that runs in a simulated process. */
export class SimulatedEngine {
  readonly address: string;
  readonly options: EngineModelOptions;
  readonly #time: VirtualTime;
  readonly #hash: TextHash;
  process: SimulatedProcess;
  model: EngineModel;
  #stepScheduled = false;
  /** The time since which the platform lists the engine as leaving. */
  leavingSinceMs: number | undefined;
  /** The longest time after that listing at which a request was still accepted, in ms. */
  latestAfterLeavingMs = 0;
  /** Tokens processed for each program, including cached prompt tokens. */
  readonly tokensByProgram = new Map<string, number>();

  constructor(options: EngineModelOptions, zone: string, address: string, time: VirtualTime, hash: TextHash) {
    this.options = options;
    this.address = address;
    this.#time = time;
    this.#hash = hash;
    this.process = new SimulatedProcess(options.name, zone, time);
    this.model = new EngineModel(options, hash);
  }

  /** Restarts with empty state after a kill. */
  restart(): void {
    this.process = new SimulatedProcess(this.options.name, this.process.zone, this.#time);
    this.model = new EngineModel(this.options, this.#hash);
    this.#stepScheduled = false;
  }

  /** Submits a request to the model, and records whether the engine was already leaving. */
  submit(request: GenerateRequest, sink: Parameters<EngineModel["submit"]>[1]) {
    const refusal = this.model.submit(request, sink, this.#time.nowMs);
    if (refusal) return refusal;
    if (this.leavingSinceMs !== undefined) {
      const afterMs = this.#time.nowMs - this.leavingSinceMs;
      this.latestAfterLeavingMs = Math.max(this.latestAfterLeavingMs, afterMs);
    }
    this.#scheduleStep();
    return undefined;
  }

  /** Adds tokens to a program's total. */
  addTokens(program: string, tokens: number): void {
    this.tokensByProgram.set(program, (this.tokensByProgram.get(program) ?? 0) + tokens);
  }

  #scheduleStep(): void {
    if (this.#stepScheduled || !this.model.hasWork) return;
    this.#stepScheduled = true;
    const { model, process } = this;
    process.schedule(model.beginStep(), () => {
      this.#stepScheduled = false;
      model.finishStep(this.#time.nowMs);
      this.#scheduleStep();
    });
  }
}

/** A machine of a service. All machines of a service share one ledger. */
export class SimulatedServiceMachine {
  readonly address: string;
  readonly process: SimulatedProcess;
  readonly model: ServiceModel;
  /** Whether requests are executed, but not answered in time. */
  hanging = false;

  constructor(name: string, zone: string, address: string, time: VirtualTime, model: ServiceModel) {
    this.address = address;
    this.process = new SimulatedProcess(name, zone, time);
    this.model = model;
  }
}

/** Connects simulated processes to engines and services. */
export class SimulatedBackEnds {
  readonly engines = new Map<string, SimulatedEngine>();
  readonly services = new Map<string, SimulatedServiceMachine>();
  readonly #time: VirtualTime;
  readonly #network: SimulatedNetwork;
  readonly #random: RandomSource;

  constructor(time: VirtualTime, network: SimulatedNetwork, random: RandomSource) {
    this.#time = time;
    this.#network = network;
    this.#random = random;
  }

  /** An engine client for one process. */
  engineClientFor(process: SimulatedProcess): EngineClient {
    const exchange = <Value>(address: string, work: (engine: SimulatedEngine) => Value) =>
      this.#exchange(process, address, work);
    return {
      generate: (address, request, onChunk, cancellation) =>
        this.#generate(process, address, request, onChunk, cancellation),
      load: (address) => exchange(address, (engine) => engine.model.load(this.#time.nowMs)),
      holds: (address) => exchange(address, (engine) => engine.model.holds()),
      cacheEvents: (address, after) =>
        exchange(address, (engine) => engine.model.cacheEvents(after, this.#time.nowMs)),
      order: (address, order: EngineOrder, token) =>
        exchange(address, (engine) => engine.model.order(order, token, this.#time.nowMs)),
      exportCache: async () => undefined,
      importCache: async () => false,
    };
  }

  /** A service client for one process. */
  serviceClientFor(process: SimulatedProcess): ServiceClient {
    return {
      send: (address, request, callId, timeoutMs) => this.#send(process, address, request, callId, timeoutMs),
    };
  }

  #exchange<Value>(
    process: SimulatedProcess,
    address: string,
    work: (engine: SimulatedEngine) => Value,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const engine = this.engines.get(address);
      const giveUp = () =>
        process.run(() => reject(platformError(`The engine at ${address} does not answer.`)));
      const timer = this.#time.after(REQUEST_TIMEOUT_MS, giveUp);
      if (!engine) return;
      this.#deliver(process, engine.process, () => {
        const value = work(engine);
        this.#deliver(engine.process, process, () => {
          this.#time.cancel(timer);
          resolve(value);
        });
      });
    });
  }

  #generate(
    process: SimulatedProcess,
    address: string,
    request: GenerateRequest,
    onChunk: (chunk: GeneratedChunk) => void,
    cancellation: Cancellation,
  ): Promise<GenerateResult> {
    return new Promise((resolve) => {
      const engine = this.engines.get(address);
      const engineProcess = engine?.process;
      const stream = new OrderedStream(this.#time);
      let silence = this.#time.after(STREAM_IDLE_TIMEOUT_MS, () =>
        end({ type: "broken", detail: "silence" }),
      );
      const end = (result: GenerateResult) => {
        this.#time.cancel(silence);
        process.run(() => resolve(result));
      };
      const heard = () => {
        this.#time.cancel(silence);
        silence = this.#time.after(STREAM_IDLE_TIMEOUT_MS, () => end({ type: "broken", detail: "silence" }));
      };
      if (!engine || !engineProcess?.alive) return end({ type: "refused", reason: "unreachable" });
      watchEnd(this.#time, engineProcess, () => end({ type: "broken", detail: "connection reset" }));
      watchEnd(this.#time, process, () => engine.model.cancel(request.requestId));
      const back = (deliver: () => void) => {
        if (!this.#network.passes(engineProcess.name, process.name)) return;
        stream.send(this.#network.latencyMs(engineProcess.zone, process.zone), () => process.run(deliver));
      };
      cancellation.onCancel(() => {
        end({ type: "cancelled" });
        this.#deliver(process, engineProcess, () => engine.model.cancel(request.requestId));
      });
      this.#deliver(process, engineProcess, () => {
        const counter = new TokenCounter(engine, request);
        const refusal = engine.submit(request, {
          onChunk: (offset, text) => {
            counter.generated(1);
            back(() => {
              heard();
              onChunk({ offset, text });
            });
          },
          onEnd: (result) => back(() => end(result)),
        });
        if (refusal) back(() => end({ type: "refused", reason: refusal }));
        else counter.prompt();
      });
    });
  }

  #send(
    process: SimulatedProcess,
    address: string,
    request: ServiceRequest,
    callId: string,
    timeoutMs: number,
  ): Promise<ServiceResult> {
    return new Promise((resolve) => {
      const machine = this.services.get(address);
      const end = (result: ServiceResult) => process.run(() => resolve(result));
      if (!machine?.process.alive) return end({ type: "not-sent", detail: "connection refused" });
      const timer = this.#time.after(timeoutMs, () => end({ type: "unknown", detail: "no answer in time" }));
      const workMs = this.#serviceWorkMs();
      this.#deliver(process, machine.process, () => {
        const reply = machine.model.execute({
          method: request.method,
          path: request.path,
          body: request.body,
          callId,
          idempotencyKey: request.idempotencyKey ?? "",
        });
        const answer = () => {
          this.#deliver(machine.process, process, () => {
            this.#time.cancel(timer);
            end({ type: "answered", answer: { type: "service", ...reply } });
          });
        };
        this.#time.after(machine.hanging ? HANG_MS : workMs, answer);
      });
    });
  }

  /** Duration of a service call, long enough that faults affect calls in flight. */
  #serviceWorkMs(): number {
    return MIN_SERVICE_MS + this.#random.unit() * SERVICE_RANGE_MS;
  }

  #deliver(from: SimulatedProcess, to: SimulatedProcess, arrive: () => void): void {
    if (!from.alive) return;
    this.#time.after(this.#network.latencyMs(from.zone, to.zone), () => {
      if (this.#network.passes(from.name, to.name)) to.run(arrive);
    });
  }
}

/** Delivers in the order of sending, like a connection, whatever the latency of each part. */
class OrderedStream {
  readonly #time: VirtualTime;
  #lastArrivalMs = 0;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  send(latencyMs: number, deliver: () => void): void {
    const arrivalMs = Math.max(this.#lastArrivalMs, Math.round(this.#time.nowMs + latencyMs));
    this.#lastArrivalMs = arrivalMs;
    this.#time.after(arrivalMs - this.#time.nowMs, deliver);
  }
}

class TokenCounter {
  readonly #engine: SimulatedEngine;
  readonly #request: GenerateRequest;

  constructor(engine: SimulatedEngine, request: GenerateRequest) {
    this.#engine = engine;
    this.#request = request;
  }

  prompt(): void {
    const characters = this.#request.messages.reduce((sum, { content }) => sum + content.length, 0);
    this.#engine.addTokens(this.#request.program, Math.ceil(characters / 4));
  }

  generated(tokens: number): void {
    this.#engine.addTokens(this.#request.program, tokens);
  }
}

const WATCH_MS = 20;

/** Calls `onEnd` soon after a process dies, as a connection to it would break. */
function watchEnd(time: VirtualTime, process: SimulatedProcess, onEnd: () => void): void {
  const untilMs = time.nowMs + HANG_MS;
  const look = () => {
    if (!process.alive) return onEnd();
    if (time.nowMs < untilMs) time.after(WATCH_MS, look);
  };
  time.after(WATCH_MS, look);
}
