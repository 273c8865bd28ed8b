import type { Pool } from "undici";
import type { Clock } from "../../runtime/clock.ts";
import { type HttpRequest, sendRequest } from "./http-exchange.ts";

/** The result of a request whose answer is read as a whole. */
export type BufferedRequestResult =
  | { readonly type: "answer"; readonly status: number; readonly body: Buffer }
  /** The request was not sent. */
  | { readonly type: "notSent"; readonly detail: string }
  /** No complete answer arrived. The request may have been processed. */
  | { readonly type: "noAnswer"; readonly detail: string };

/** Sends a request and reads the whole answer within `timeoutMs`. */
export function sendBufferedRequest(
  pool: Pool,
  clock: Clock,
  request: HttpRequest,
  timeoutMs: number,
): Promise<BufferedRequestResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    const finish = (answer: BufferedRequestResult) => {
      clock.cancel(timer);
      resolve(answer);
    };
    const exchange = sendRequest(pool, request, {
      onHead: (head) => {
        status = head.status;
        return true;
      },
      onData: (chunk) => chunks.push(chunk),
      onEnd: () => finish({ type: "answer", status, body: Buffer.concat(chunks) }),
      onFailed: (error, sent) => finish({ type: sent ? "noAnswer" : "notSent", detail: error.message }),
    });
    const timer = clock.schedule(timeoutMs, () => {
      exchange.abort();
      resolve({ type: "noAnswer", detail: `no answer within ${timeoutMs} ms` });
    });
  });
}
