import type { ServiceRequest } from "../../scheduling/program/records.ts";
import { bodyFramingOf } from "../http/body-framing.ts";
import { type HttpPools, isConnectFailure } from "../http-json.ts";
import type { ServiceClient, ServiceResult } from "./service-client.ts";

/**
 * Calls services over HTTP. Each request is sent once, over a connection that carries no other request at the same
 * time.
 */
export class HttpServiceClient implements ServiceClient {
  readonly #pools: HttpPools;

  constructor(pools: HttpPools) {
    this.#pools = pools;
  }

  async send(
    address: string,
    request: ServiceRequest,
    callId: string,
    timeoutMs: number,
  ): Promise<ServiceResult> {
    try {
      const response = await this.#pools.get(address).request({
        method: request.method as "GET" | "POST",
        path: request.path,
        headers: headersOf(request, callId),
        body: request.body === "" ? null : request.body,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const { statusCode, headers } = response;
      const contentType = headers["content-type"];
      const isEndOpen = bodyFramingOf(request.method, statusCode, headers) === "connection";
      return {
        type: "answered",
        answer: {
          type: "service",
          status: statusCode,
          contentType: typeof contentType === "string" ? contentType : "application/octet-stream",
          body: await response.body.text(),
          ...(isEndOpen ? { mayBeShort: true } : {}),
        },
      };
    } catch (error) {
      return resultOfError(error);
    }
  }
}

function headersOf(request: ServiceRequest, callId: string): Record<string, string> {
  const headers: Record<string, string> = { "tulipwheel-call-id": callId };
  if (request.body !== "") headers["content-type"] = request.contentType;
  if (request.idempotencyKey) headers["idempotency-key"] = request.idempotencyKey;
  return headers;
}

function resultOfError(error: unknown): ServiceResult {
  const { code, message } = error as { code?: string; message: string };
  const detail = `no answer came (${code ?? message})`;
  return isConnectFailure(error) ? { type: "not-sent", detail } : { type: "unknown", detail };
}
