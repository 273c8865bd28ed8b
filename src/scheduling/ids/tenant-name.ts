import type { Brand } from "./brand.ts";

/** What operators call a tenant. */
export type TenantName = Brand<string, "TenantName">;
