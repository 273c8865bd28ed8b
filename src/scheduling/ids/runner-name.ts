import type { Brand } from "./brand.ts";

/** The platform's name for a runner. A runner that restarts may keep its name. */
export type RunnerName = Brand<string, "RunnerName">;
