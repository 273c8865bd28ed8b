import type { Brand } from "./brand.ts";

/** Identifies the content of a request: the same for every try of it, whatever identifier the try has. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
