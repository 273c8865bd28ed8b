/** Remembers for a limited time where streams began. Bounded: the oldest streams are dropped first. */
import type { StreamKey } from "./stream-key.ts";
import type { StreamOrigin } from "./stream-origin.ts";

/** How long an origin is kept, in ms: longer than callers take up the same stream. */
const ORIGIN_TTL_MS = 30_000;
const MAX_ORIGINS = 20_000;
/** Maximum length of all keys together, in characters: callers choose them. */
const MAX_KEYS_LENGTH = 2_000_000;

/** Result of looking an origin up. */
export type OriginLookup =
  | { readonly type: "known"; readonly origin: StreamOrigin }
  | { readonly type: "absent" }
  /** Two streams of different versions had the same key. */
  | { readonly type: "ambiguous" };

interface KnownOrigin {
  readonly origin: StreamOrigin;
  readonly isAmbiguous: boolean;
  readonly expiresAtMs: number;
}

export class OriginTable {
  /** In the order in which they were last stored. */
  readonly #origins = new Map<StreamKey, KnownOrigin>();
  #keysLength = 0;

  get size(): number {
    return this.#origins.size;
  }

  /** Stores the origin of a stream, or extends the time for which it is kept. */
  store(key: StreamKey, origin: StreamOrigin, nowMs: number): void {
    this.#dropExpired(nowMs);
    const known = this.#origins.get(key);
    const isAmbiguous = known !== undefined && (known.isAmbiguous || !isSameVersion(known.origin, origin));
    this.#delete(key);
    this.#origins.set(key, { origin, isAmbiguous, expiresAtMs: nowMs + ORIGIN_TTL_MS });
    this.#keysLength += key.length;
    for (const oldest of this.#origins.keys()) {
      if (this.#origins.size <= MAX_ORIGINS && this.#keysLength <= MAX_KEYS_LENGTH) return;
      this.#delete(oldest);
    }
  }

  find(key: StreamKey, nowMs: number): OriginLookup {
    const known = this.#origins.get(key);
    if (!known || known.expiresAtMs <= nowMs) return { type: "absent" };
    return known.isAmbiguous ? { type: "ambiguous" } : { type: "known", origin: known.origin };
  }

  #dropExpired(nowMs: number): void {
    for (const [key, { expiresAtMs }] of this.#origins) {
      if (expiresAtMs > nowMs) return;
      this.#delete(key);
    }
  }

  #delete(key: StreamKey): void {
    if (this.#origins.delete(key)) this.#keysLength -= key.length;
  }
}

function isSameVersion(left: StreamOrigin, right: StreamOrigin): boolean {
  return left.pool === right.pool && left.version === right.version;
}
