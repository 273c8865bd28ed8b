import type { Brand } from "./brand.ts";

/** Identifies one start of a runner. A runner that restarts gets a new identifier. */
export type RunnerId = Brand<string, "RunnerId">;
