/** Answers the requests of attempts as undici passes them on: over virtual time, in pieces, and broken off as drawn. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher, Pool } from "undici";
import type { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { VirtualTime } from "../virtual-time.ts";
import type { DrawnRun } from "./drawn-run.ts";
import type { SimulatedCall } from "./simulated-call.ts";

const STEP_MS = 1;
const MAX_PIECE_BYTES = 40;

type Controller = Pick<Dispatcher.DispatchController, "abort" | "pause" | "resume" | "rawHeaders">;

/** A connection pool that leads to simulated runners. */
export class SimulatedRunners {
  readonly #time: VirtualTime;
  readonly #random: SeededRandomSource;
  readonly #calls: ReadonlyMap<string, SimulatedCall>;

  constructor(time: VirtualTime, random: SeededRandomSource, calls: ReadonlyMap<string, SimulatedCall>) {
    this.#time = time;
    this.#random = random;
    this.#calls = calls;
  }

  /** The pool for one runner. Only `dispatch` may be used. */
  get pool(): Pool {
    const dispatch = (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => {
      this.#answer(options, handler);
      return true;
    };
    return { dispatch } as unknown as Pool;
  }

  #answer({ headers }: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    const sent = headerMap(headers as string[]);
    const call = this.#calls.get(sent.get("x-request-id") ?? "");
    if (!call) throw new Error("a request that no caller sent");
    const run = call.nextRun(Number(sent.get("last-event-id") ?? 0));
    new SimulatedAnswer(call, run, handler, this.#time, this.#random).begin();
  }
}

class SimulatedAnswer {
  readonly #run: DrawnRun;
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #time: VirtualTime;
  readonly #random: SeededRandomSource;
  readonly #controller: Controller;
  readonly #headers: IncomingHttpHeaders;
  #rest: string;
  #isAborted = false;

  constructor(
    call: SimulatedCall,
    run: DrawnRun,
    handler: Dispatcher.DispatchHandler,
    time: VirtualTime,
    random: SeededRandomSource,
  ) {
    this.#run = run;
    this.#handler = handler;
    this.#time = time;
    this.#random = random;
    this.#rest = run.sent;
    const framing = call.isStream
      ? { "transfer-encoding": "chunked" }
      : { "content-length": String(call.parts.join("").length) };
    this.#headers = { "x-request-id": call.id, ...(run.isUnframed ? {} : framing) };
    this.#controller = {
      abort: () => {
        this.#isAborted = true;
      },
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: Object.entries(this.#headers).flat() as never,
    };
  }

  begin(): void {
    const controller = this.#controller as Dispatcher.DispatchController;
    this.#handler.onRequestStart?.(controller, undefined as never);
    this.#later(() => {
      this.#handler.onResponseStart?.(controller, 200, this.#headers);
      this.#sendNext();
    });
  }

  #sendNext(): void {
    this.#later(() => {
      if (this.#rest === "") return this.#end();
      const length = 1 + this.#random.below(MAX_PIECE_BYTES);
      const piece = Buffer.from(this.#rest.slice(0, length));
      this.#rest = this.#rest.slice(length);
      this.#handler.onResponseData?.(this.#controller as Dispatcher.DispatchController, piece);
      this.#sendNext();
    });
  }

  #end(): void {
    const { isUnframed, isWhole, end } = this.#run;
    const controller = this.#controller as Dispatcher.DispatchController;
    // A body that is as long as its length is whole, whatever comes after it.
    const isLengthMet = isWhole && "content-length" in this.#headers;
    const isCutLength = !isWhole && "content-length" in this.#headers;
    const endsInOrder = isUnframed ? end !== "reset" : end === "framed" && !isCutLength;
    if (endsInOrder || isLengthMet) this.#handler.onResponseEnd?.(controller, {});
    else this.#handler.onResponseError?.(controller, new Error("other side closed"));
  }

  #later(action: () => void): void {
    this.#time.after(STEP_MS, () => {
      if (!this.#isAborted) action();
    });
  }
}

function headerMap(headers: readonly string[]): Map<string, string> {
  const map = new Map<string, string>();
  for (let index = 0; index < headers.length; index += 2)
    map.set((headers[index] ?? "").toLowerCase(), headers[index + 1] ?? "");
  return map;
}
