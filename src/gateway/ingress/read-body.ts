import type { IncomingMessage } from "node:http";

/** How reading a request's body ended. */
export type BodyOutcome =
  | { readonly type: "body"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** The caller left, or broke the protocol, before the body was whole. */
  | { readonly type: "broken" };

/** Reads a whole body of at most `limitBytes`. */
export function readBody(request: IncomingMessage, limitBytes: number): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > limitBytes) {
        resolve({ type: "tooLarge" });
        request.removeAllListeners("data");
        request.resume();
        return;
      }
      chunks.push(chunk);
    });
    request.on("end", () => {
      const [only] = chunks;
      resolve({ type: "body", body: chunks.length === 1 && only ? only : Buffer.concat(chunks) });
    });
    request.on("error", () => resolve({ type: "broken" }));
    request.on("close", () => resolve({ type: "broken" }));
  });
}
