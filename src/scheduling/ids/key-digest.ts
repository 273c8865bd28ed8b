import type { Brand } from "./brand.ts";

/** A one-way digest of an API key. The key itself is not stored anywhere and cannot be derived from the digest. */
export type KeyDigest = Brand<string, "KeyDigest">;
