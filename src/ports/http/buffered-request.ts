import type { Pool } from "undici";
import type { Clock } from "../../runtime/clock.ts";
import { type HttpRequest, sendRequest } from "./http-exchange.ts";

/** How a request that wants a whole answer ended. */
export type BufferedRequestResult =
  | { readonly type: "answer"; readonly status: number; readonly body: Buffer }
  /** Nothing was sent. */
  | { readonly type: "notSent"; readonly detail: string }
  /** The request may have been carried out. */
  | { readonly type: "noAnswer"; readonly detail: string };

/** Sends a request and reads the whole answer, for at most `timeoutMs`. */
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
