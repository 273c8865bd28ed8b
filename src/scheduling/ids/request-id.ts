import type { Brand } from "./brand.ts";

/** Identifies one attempt of a caller. A turn is identified by the request that asked for it. */
export type RequestId = Brand<string, "RequestId">;
