import type { Brand } from "./brand.ts";

/** Identifies an agent program. Chosen by the caller. */
export type ProgramId = Brand<string, "ProgramId">;
