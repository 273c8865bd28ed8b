import { problemOf, requestError } from "../../errors/tulipwheel-error.ts";
import type { ServiceRequest } from "../../scheduling/program/records.ts";
import { CALL_ID_HEADER, type CallHeaders } from "./chat-completions.ts";
import type { HttpExchange } from "./http-exchange.ts";
import type { Ingress } from "./ingress.ts";

const PATH_PATTERN = /^\/v1\/services\/([a-z0-9-]{1,63})(\/.*)$/;
const METHODS = new Set(["GET", "POST", "PUT", "PATCH", "DELETE"]);

/** Handles a request with any method to `/v1/services/{service}/{path}`: a call to a tool or application service. */
export async function handleServiceCall(
  ingress: Ingress,
  exchange: HttpExchange,
  headers: CallHeaders,
): Promise<void> {
  const request = await serviceRequestOf(exchange, headers.idempotencyKey);
  const session = await ingress.makeCall({ ...headers, request, streamed: false }, () => undefined);
  const result = await session.result;
  if (result.type === "failed") return exchange.sendProblem(result.problem);
  if (result.answer.type !== "service") {
    return exchange.sendProblem(
      problemOf("answer-interrupted", `Call ${session.call} is not a service call.`),
    );
  }
  const { status, contentType, body, mayBeShort } = result.answer;
  const content = Buffer.from(body);
  if (mayBeShort) exchange.leaveEndOpen();
  exchange.response.writeHead(status, {
    "content-type": contentType,
    ...(mayBeShort ? {} : { "content-length": content.length }),
    [CALL_ID_HEADER]: session.call,
    "tulipwheel-call": String(result.number),
  });
  exchange.response.end(content);
}

async function serviceRequestOf(
  exchange: HttpExchange,
  idempotencyKey: string | undefined,
): Promise<ServiceRequest> {
  const match = PATH_PATTERN.exec(exchange.url.pathname);
  if (!match) throw requestError("invalid-request", "The path must be /v1/services/{service}/{path}.");
  if (!METHODS.has(exchange.method))
    throw requestError("invalid-request", `${exchange.method} is not supported.`);
  const [, service, path] = match;
  return {
    type: "service",
    service,
    method: exchange.method,
    path: path + exchange.url.search,
    contentType: exchange.header("content-type") ?? "application/octet-stream",
    body: await exchange.text(),
    idempotencyKey,
    neverRepeat: exchange.header("tulipwheel-repeat") === "never",
  };
}
