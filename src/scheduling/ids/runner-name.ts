import type { Brand } from "./brand.ts";

/** What the platform calls a runner. One that starts again may keep its name. */
export type RunnerName = Brand<string, "RunnerName">;
