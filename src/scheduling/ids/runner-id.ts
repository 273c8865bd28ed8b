import type { Brand } from "./brand.ts";

/** Names one start of a runner. */
export type RunnerId = Brand<string, "RunnerId">;
