import type { Brand } from "./brand.ts";

/** A one-way digest of an API key. The key itself is held nowhere, and can't be found from it. */
export type KeyDigest = Brand<string, "KeyDigest">;
