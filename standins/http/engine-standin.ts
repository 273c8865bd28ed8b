import type { ServerResponse } from "node:http";
import type { EngineOrder, GenerateRequest } from "../../src/ports/engine/engine-client.ts";
import type { TextHash } from "../../src/runtime/text-hash.ts";
import { EngineModel, type EngineModelOptions } from "../engine/engine-model.ts";
import { HttpStandin, parseJsonBody, type StandinAnswer, type StandinRequest } from "./http-standin.ts";

const OK = 200;
const CONFLICT = 409;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Serves an {@link EngineModel} over HTTP, on the real clock. */
export class EngineStandin {
  readonly model: EngineModel;
  readonly http: HttpStandin;
  readonly #messagesByProgram = new Map<string, GenerateRequest["messages"]>();
  #stepScheduled = false;

  constructor(options: EngineModelOptions, hash: TextHash) {
    this.model = new EngineModel(options, hash);
    this.http = new HttpStandin((request, response) => this.#handle(request, response));
  }

  /** Starts listening and returns the address. */
  listen(address: string): Promise<string> {
    return this.http.listen(address);
  }

  /** Stops immediately and breaks open streams. */
  close(): Promise<void> {
    return this.http.close();
  }

  #handle(request: StandinRequest, response: ServerResponse): StandinAnswer | undefined | "streaming" {
    const nowMs = performance.now();
    switch (`${request.method} ${request.path}`) {
      case "POST /v1/completions":
        return this.#generate(parseJsonBody<GenerateRequest>(request), response);
      case "GET /load":
        return { status: OK, body: this.model.load(nowMs) };
      case "GET /holds":
        return { status: OK, body: this.model.holds() };
      case "GET /cache/events":
        return { status: OK, body: this.model.cacheEvents(Number(request.query.get("after") ?? "0"), nowMs) };
      case "GET /totals":
        return { status: OK, body: this.model.totals };
      case "POST /orders":
        return this.#order(request, nowMs);
      case "POST /cache/export":
        return this.#exportCache(parseJsonBody<{ program: string }>(request).program);
      case "POST /cache/import":
        return this.#importCache(request, nowMs);
      case "POST /leaving":
        this.model.setLeaving(parseJsonBody<{ leaving: boolean }>(request).leaving);
        return { status: OK };
      default:
        return this.#cancel(request);
    }
  }

  #generate(request: GenerateRequest, response: ServerResponse): StandinAnswer | "streaming" {
    const sink = {
      onChunk: (offset: number, text: string) => writeEvent(response, { type: "chunk", offset, text }),
      onEnd: (result: object) => {
        writeEvent(response, { ...result, type: "end" });
        response.end();
      },
    };
    const refusal = this.model.submit(request, sink, performance.now());
    if (refusal) return { status: refusalStatus(refusal), body: { error: refusal } };
    this.#messagesByProgram.set(request.program, request.messages);
    response.writeHead(OK, { "content-type": "text/event-stream" });
    response.flushHeaders();
    response.on("close", () => this.model.cancel(request.requestId));
    this.#scheduleStep();
    return "streaming";
  }

  #scheduleStep(): void {
    if (this.#stepScheduled || !this.model.hasWork) return;
    this.#stepScheduled = true;
    setTimeout(() => {
      this.#stepScheduled = false;
      this.model.finishStep(performance.now());
      this.#scheduleStep();
    }, this.model.beginStep());
  }

  #order(request: StandinRequest, nowMs: number): StandinAnswer {
    const { order, fencingToken } = parseJsonBody<{ order: EngineOrder; fencingToken: number }>(request);
    if (!this.model.order(order, fencingToken, nowMs))
      return { status: CONFLICT, body: { error: "stale-token" } };
    return { status: OK };
  }

  #cancel(request: StandinRequest): StandinAnswer | undefined {
    if (request.method !== "DELETE" || !request.path.startsWith("/v1/completions/")) return undefined;
    const requestId = decodeURIComponent(request.path.slice("/v1/completions/".length));
    return { status: this.model.cancel(requestId) ? OK : NOT_FOUND };
  }

  #exportCache(program: string): StandinAnswer | undefined {
    const messages = this.#messagesByProgram.get(program);
    if (!messages) return undefined;
    return { status: OK, body: { cache: Buffer.from(JSON.stringify(messages)).toString("base64") } };
  }

  #importCache(request: StandinRequest, nowMs: number): StandinAnswer {
    const { program, cache, fencingToken } = parseJsonBody<{
      program: string;
      cache: string;
      fencingToken: number;
    }>(request);
    const messages = JSON.parse(Buffer.from(cache, "base64").toString()) as GenerateRequest["messages"];
    const taken = this.model.importCache(program, messages, fencingToken, nowMs);
    return taken ? { status: OK } : { status: CONFLICT, body: { error: "stale-token" } };
  }
}

function refusalStatus(refusal: string): number {
  if (refusal === "stale-token") return CONFLICT;
  return refusal === "unknown-model" ? NOT_FOUND : UNAVAILABLE;
}

function writeEvent(response: ServerResponse, event: object): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}
