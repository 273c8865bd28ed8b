import { createParser } from "eventsource-parser";
import { platformError } from "../../errors/tulipwheel-error.ts";
import { type HttpJsonClient, type HttpPools, isConnectFailure } from "../http-json.ts";
import type {
  CacheEvent,
  Cancellation,
  EngineClient,
  EngineHold,
  EngineLoad,
  EngineOrder,
  EngineRefusal,
  GeneratedChunk,
  GenerateRequest,
  GenerateResult,
} from "./engine-client.ts";

/** Time without data after which a stream counts as broken. */
const STREAM_IDLE_TIMEOUT_MS = 15_000;
const OK = 200;
const CONFLICT = 409;

const REFUSAL_REASONS = new Set(["stale-token", "leaving", "unknown-model", "full"]);

/** One event of an engine's stream. */
type StreamEvent =
  | { readonly type: "chunk"; readonly offset: number; readonly text: string }
  | {
      readonly type: "end";
      readonly finishReason: string;
      readonly length: number;
      readonly usage: { promptTokens: number; completionTokens: number; cachedTokens: number };
    };

/** An engine over HTTP; docs/ENGINE-CONTRACT.md describes its interface. */
export class HttpEngineClient implements EngineClient {
  readonly #pools: HttpPools;
  readonly #json: HttpJsonClient;

  constructor(pools: HttpPools, json: HttpJsonClient) {
    this.#pools = pools;
    this.#json = json;
  }

  async generate(
    address: string,
    request: GenerateRequest,
    onChunk: (chunk: GeneratedChunk) => void,
    cancellation: Cancellation,
  ): Promise<GenerateResult> {
    const abort = new AbortController();
    cancellation.onCancel(() => abort.abort());
    try {
      const response = await this.#pools.get(address).request({
        method: "POST",
        path: "/v1/completions",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(request),
        headersTimeout: STREAM_IDLE_TIMEOUT_MS,
        bodyTimeout: STREAM_IDLE_TIMEOUT_MS,
        signal: abort.signal,
      });
      if (response.statusCode !== OK) return refusalOf(response.statusCode, await response.body.text());
      return await readStream(response.body, onChunk);
    } catch (error) {
      if (cancellation.cancelled) return { type: "cancelled" };
      if (isConnectFailure(error)) return { type: "refused", reason: "unreachable" };
      return { type: "broken", detail: `The engine at ${address} broke off (${(error as Error).message}).` };
    }
  }

  async load(address: string): Promise<EngineLoad> {
    return (await this.#json.fetch(address, "GET", "/load")) as EngineLoad;
  }

  async holds(address: string): Promise<readonly EngineHold[]> {
    return (await this.#json.fetch(address, "GET", "/holds")) as EngineHold[];
  }

  async cacheEvents(address: string, after: number): Promise<readonly CacheEvent[]> {
    return (await this.#json.fetch(address, "GET", `/cache/events?after=${after}`)) as CacheEvent[];
  }

  async order(address: string, order: EngineOrder, fencingToken: number): Promise<boolean> {
    const answer = await this.#json.exchange(address, "POST", "/orders", { order, fencingToken });
    if (answer.status === CONFLICT) return false;
    if (answer.status !== OK)
      throw platformError(`The engine at ${address} answered ${answer.status} to an order.`);
    return true;
  }

  async exportCache(address: string, program: string): Promise<Uint8Array | undefined> {
    const answer = await this.#json.exchange(address, "POST", "/cache/export", { program });
    if (answer.status !== OK) return undefined;
    return Buffer.from((answer.body as { cache: string }).cache, "base64");
  }

  async importCache(
    address: string,
    program: string,
    cache: Uint8Array,
    fencingToken: number,
  ): Promise<boolean> {
    const body = { program, cache: Buffer.from(cache).toString("base64"), fencingToken };
    const answer = await this.#json.exchange(address, "POST", "/cache/import", body);
    return answer.status === OK;
  }
}

function refusalOf(status: number, text: string): GenerateResult {
  const reason = parseRefusalReason(text);
  if (reason) return { type: "refused", reason };
  return { type: "broken", detail: `The engine answered ${status}.` };
}

function parseRefusalReason(text: string): EngineRefusal | undefined {
  try {
    const { error } = JSON.parse(text) as { error: string };
    return REFUSAL_REASONS.has(error) ? (error as "full") : undefined;
  } catch {
    return undefined;
  }
}

async function readStream(
  body: AsyncIterable<Buffer>,
  onChunk: (chunk: GeneratedChunk) => void,
): Promise<GenerateResult> {
  let end: Extract<StreamEvent, { type: "end" }> | undefined;
  const parser = createParser({
    onEvent({ data }) {
      const event = JSON.parse(data) as StreamEvent;
      if (event.type === "chunk") onChunk({ offset: event.offset, text: event.text });
      else end = event;
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) parser.feed(decoder.decode(bytes, { stream: true }));
  if (!end) return { type: "broken", detail: "The stream ended without its last event." };
  return { type: "completed", finishReason: end.finishReason, usage: end.usage, length: end.length };
}
