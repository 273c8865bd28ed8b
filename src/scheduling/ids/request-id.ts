import type { Brand } from "./brand.ts";

/** Names one try of a caller; a turn is named by the request that asked for it. */
export type RequestId = Brand<string, "RequestId">;
