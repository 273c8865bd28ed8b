import type { Pool } from "undici";
import { ByteCollector } from "../../runtime/byte-collector.ts";
import type { Clock } from "../../runtime/clock.ts";
import { type HttpRequest, sendRequest } from "./http-exchange.ts";

/** Maximum size of an answer's body, in bytes. */
const MAX_BODY_BYTES = 33_554_432;

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
    const body = new ByteCollector();
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
      onData: (chunk) => {
        body.push(chunk);
        if (body.length > MAX_BODY_BYTES) giveUp(`the answer is larger than ${MAX_BODY_BYTES} bytes`);
      },
      onEnd: () => finish({ type: "answer", status, body: body.bytes }),
      onFailed: (error, sent) => finish({ type: sent ? "noAnswer" : "notSent", detail: error.message }),
    });
    const giveUp = (detail: string) => {
      exchange.abort();
      finish({ type: "noAnswer", detail });
    };
    const timer = clock.schedule(timeoutMs, () => giveUp(`no answer within ${timeoutMs} ms`));
  });
}
