import type { Brand } from "../ids/brand.ts";

/** What operators call a tenant. */
export type TenantName = Brand<string, "TenantName">;
