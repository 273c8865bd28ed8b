/** Sends a caller's request and reads as much of the answer as arrives. */
import { request } from "undici";
import { TEST_HOST, type TestGateway } from "../process/support/gateway-cluster.ts";
import { STEADY_KEY } from "./soak-tenants.ts";

/** The part of an answer that arrived. */
export interface SoakAnswer {
  /** 0 if no response head arrived. */
  readonly status: number;
  /** The part of the body that arrived. */
  readonly body: string;
  /** Whether the answer's framing says that all of it arrived. */
  readonly whole: boolean;
  readonly retryAfterMs: number | undefined;
  /** Identifier of the request that the answer names, if it names one. */
  readonly answeredRequestId: string | undefined;
}

const MS_PER_S = 1_000;

/** Sends a request, with the callers' key unless `headers` holds another, and aborts it after `timeoutMs`. */
export async function soakRequest(
  gateway: TestGateway,
  path: string,
  headers: Record<string, string>,
  body: string,
  timeoutMs: number,
): Promise<SoakAnswer> {
  let status = 0;
  let text = "";
  let retryAfterMs: number | undefined;
  let answeredRequestId: string | undefined;
  try {
    const answer = await request(`http://${gateway.addresses.callers}${path}`, {
      method: "POST",
      headers: {
        host: TEST_HOST,
        "X-Deadline-Ms": String(timeoutMs),
        Authorization: `Bearer ${STEADY_KEY}`,
        ...headers,
      },
      body,
      signal: AbortSignal.timeout(timeoutMs),
    });
    status = answer.statusCode;
    const after = answer.headers["retry-after"];
    const named = answer.headers["x-request-id"];
    answeredRequestId = named === undefined ? undefined : String(named);
    if (after !== undefined) retryAfterMs = Number(after) * MS_PER_S;
    for await (const chunk of answer.body) text += String(chunk);
    const whole =
      answer.headers["content-length"] !== undefined || answer.headers["transfer-encoding"] !== undefined;
    return { status, body: text, whole, retryAfterMs, answeredRequestId };
  } catch {
    return { status, body: text, whole: false, retryAfterMs, answeredRequestId };
  }
}
