import type { Brand } from "./brand.ts";

/** A tenant's name, as configured by operators. */
export type TenantName = Brand<string, "TenantName">;
