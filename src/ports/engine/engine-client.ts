import type { ChatMessage, Usage } from "../../scheduling/program/records.ts";

/** A request to a model engine to generate text. */
export interface GenerateRequest {
  /** Unique per attempt of a call; the engine ignores a second request with the same identifier. */
  readonly requestId: string;
  readonly program: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Smaller is more urgent. */
  readonly priority: number;
  /** The engine refuses a request whose token is older than the newest one that it has seen. */
  readonly fencingToken: number;
  /** Text that was already generated; the engine continues after it. */
  readonly resumeText: string;
}

/** A piece of generated text. */
export interface GeneratedChunk {
  /** Position in the whole text, including the resumed part, in UTF-16 code units. */
  readonly offset: number;
  readonly text: string;
}

/** Why an engine did not accept a request; `unreachable` when no connection could be established. */
export type EngineRefusal = "stale-token" | "leaving" | "unknown-model" | "full" | "unreachable";

/** How a generation ended. */
export type GenerateResult =
  | {
      readonly type: "completed";
      readonly finishReason: string;
      readonly usage: Usage;
      /** Length of the whole text, in UTF-16 code units. */
      readonly length: number;
    }
  /** The engine did not accept the request, and no part of it ran. */
  | { readonly type: "refused"; readonly reason: EngineRefusal }
  /**
   * The engine answered with an error, or the exchange failed before the end of the stream. The request may have run.
   */
  | { readonly type: "broken"; readonly detail: string }
  | { readonly type: "cancelled" };

/** The load that an engine reports. It may be stale. */
export interface EngineLoad {
  readonly running: readonly string[];
  readonly waiting: number;
  readonly usedKvTokens: number;
  readonly leaving: boolean;
  /** Age of the report, in ms. */
  readonly ageMs: number;
}

/** Tokens that an engine keeps in its cache for a program between the program's turns. */
export interface EngineHold {
  readonly program: string;
  readonly tokens: number;
}

/** An event of an engine's prefix cache. Events may arrive late and with gaps in their numbers. */
export interface CacheEvent {
  readonly number: number;
  readonly type: "stored" | "evicted";
  readonly program: string;
  readonly tokens: number;
}

/** A command to an engine. The engine refuses it when its fencing token is older than the newest one seen. */
export type EngineOrder =
  | { readonly type: "release"; readonly program: string }
  | { readonly type: "load"; readonly model: string; readonly version: string }
  | { readonly type: "unload"; readonly model: string }
  | { readonly type: "role"; readonly role: "mixed" | "prefill" | "decode" };

/** A cancellation signal: whether it was triggered, and actions to run when it is. */
export interface Cancellation {
  readonly cancelled: boolean;
  onCancel(action: () => void): void;
}

/** Client of model engines. Methods without a result type of their own throw a `PlatformError`. */
export interface EngineClient {
  /** Generates text. Chunks are passed on in order. Never throws. */
  generate(
    address: string,
    request: GenerateRequest,
    onChunk: (chunk: GeneratedChunk) => void,
    cancellation: Cancellation,
  ): Promise<GenerateResult>;
  /** Returns the load that the engine reports. */
  load(address: string): Promise<EngineLoad>;
  /** Returns the cached tokens that the engine keeps, per program. */
  holds(address: string): Promise<readonly EngineHold[]>;
  /** Returns the cache events after a given number. */
  cacheEvents(address: string, after: number): Promise<readonly CacheEvent[]>;
  /** Sends a command. Returns false when the fencing token was too old. */
  order(address: string, order: EngineOrder, fencingToken: number): Promise<boolean>;
  /** Exports a program's cache from an engine, to be imported into another. */
  exportCache(address: string, program: string): Promise<Uint8Array | undefined>;
  /** Imports an exported cache. */
  importCache(address: string, program: string, cache: Uint8Array, fencingToken: number): Promise<boolean>;
}
