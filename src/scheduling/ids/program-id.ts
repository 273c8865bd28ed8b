import type { Brand } from "./brand.ts";

/** Names an agent program, as its caller does. */
export type ProgramId = Brand<string, "ProgramId">;
