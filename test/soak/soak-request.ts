/** A caller's request whose answer is read as far as it comes. */
import { request } from "undici";
import { TEST_HOST, type TestGateway } from "../process/support/gateway-cluster.ts";
import { STEADY_KEY } from "./soak-tenants.ts";

/** What came of an answer. */
export interface SoakAnswer {
  /** 0 when no head came. */
  readonly status: number;
  /** As much of the body as came. */
  readonly body: string;
  readonly whole: boolean;
  readonly retryAfterMs: number | undefined;
  /** The request that the answer names, if it names one. */
  readonly answeredRequestId: string | undefined;
}

const MS_PER_S = 1_000;

/** Sends a request, with the callers' key unless it shows another, and gives it up after `timeoutMs`. */
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
    return { status, body: text, whole: true, retryAfterMs, answeredRequestId };
  } catch {
    return { status, body: text, whole: false, retryAfterMs, answeredRequestId };
  }
}
