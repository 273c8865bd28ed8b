import type { Brand } from "../ids/brand.ts";
import type { RequestId } from "../ids/request-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** Identifies a stream by the request that brought its first event and the tenant that sent it. */
export type StreamKey = Brand<string, "StreamKey">;

/** Returns the key of a stream. Callers choose the identifiers of requests, so tenants may use the same one. */
export function streamKeyOf(tenant: TenantName | undefined, request: RequestId): StreamKey {
  return `${tenant ?? ""}/${request}` as StreamKey;
}
