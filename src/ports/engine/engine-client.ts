import type { ChatMessage, Usage } from "../../scheduling/program/records.ts";

/** A generation on a model engine. */
export interface GenerateRequest {
  /** Unique per attempt of a call; the engine passes over a second request with the same one. */
  readonly requestId: string;
  readonly program: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Smaller is more urgent. */
  readonly priority: number;
  /** The engine refuses a token older than the newest it has seen. */
  readonly fencingToken: number;
  /** Text that was already generated; the engine goes on after it. */
  readonly resumeText: string;
}

/** A piece of generated text. */
export interface GeneratedChunk {
  /** Position in the whole text, the resumed part included, in UTF-16 units. */
  readonly offset: number;
  readonly text: string;
}

/** Why an engine did not take a request; `unreachable` when no connection came about. */
export type EngineRefusal = "stale-token" | "leaving" | "unknown-model" | "full" | "unreachable";

/** How a generation ended. */
export type GenerateResult =
  | {
      readonly type: "completed";
      readonly finishReason: string;
      readonly usage: Usage;
      /** Length of the whole text, in UTF-16 units. */
      readonly length: number;
    }
  /** The engine did not take the request; nothing of it ran. */
  | { readonly type: "refused"; readonly reason: EngineRefusal }
  /** The engine could not be reached, or the stream broke. */
  | { readonly type: "broken"; readonly detail: string }
  | { readonly type: "cancelled" };

/** What an engine reports of itself; lags behind what is true. */
export interface EngineLoad {
  readonly running: readonly string[];
  readonly waiting: number;
  readonly usedKvTokens: number;
  readonly leaving: boolean;
  /** Age of the report, in ms. */
  readonly ageMs: number;
}

/** What an engine holds for a program between its turns. */
export interface EngineHold {
  readonly program: string;
  readonly tokens: number;
}

/** An event of an engine's prefix cache. Events come late and with gaps in their numbers. */
export interface CacheEvent {
  readonly number: number;
  readonly type: "stored" | "evicted";
  readonly program: string;
  readonly tokens: number;
}

/** An order to an engine, refused when its token is older than the newest seen. */
export type EngineOrder =
  | { readonly type: "release"; readonly program: string }
  | { readonly type: "load"; readonly model: string; readonly version: string }
  | { readonly type: "unload"; readonly model: string }
  | { readonly type: "role"; readonly role: "mixed" | "prefill" | "decode" };

/** A cancellation that its holder may bring about. */
export interface Cancellation {
  readonly cancelled: boolean;
  onCancel(action: () => void): void;
}

/** One engine's interface. Methods without a result type of their own throw a `PlatformError`. */
export interface EngineClient {
  /** Generates; chunks come in order. Never throws. */
  generate(
    address: string,
    request: GenerateRequest,
    onChunk: (chunk: GeneratedChunk) => void,
    cancellation: Cancellation,
  ): Promise<GenerateResult>;
  /** The engine's report of its load. */
  load(address: string): Promise<EngineLoad>;
  /** What the engine holds for programs. */
  holds(address: string): Promise<readonly EngineHold[]>;
  /** Cache events after a number. */
  cacheEvents(address: string, after: number): Promise<readonly CacheEvent[]>;
  /** Gives an order. Returns false when the token was too old. */
  order(address: string, order: EngineOrder, fencingToken: number): Promise<boolean>;
  /** Takes a program's cache out of an engine, to be put into another. */
  exportCache(address: string, program: string): Promise<Uint8Array | undefined>;
  /** Puts an exported cache in. */
  importCache(address: string, program: string, cache: Uint8Array, fencingToken: number): Promise<boolean>;
}
