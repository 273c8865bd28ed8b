import type { Brand } from "./brand.ts";

/** Version of a runner's software, as its entry names it. Versions of different pools are not related. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
