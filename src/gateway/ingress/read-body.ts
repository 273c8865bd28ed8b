import type { IncomingMessage } from "node:http";
import type { CallerBuffers } from "../buffers/caller-buffers.ts";

/** How reading a request's body ended. */
export type BodyOutcome =
  | { readonly type: "body"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** There is no memory for the body. */
  | { readonly type: "noMemory" }
  /** The caller disconnected, or violated the protocol, before the body was complete. */
  | { readonly type: "broken" };

/** Reads a complete body of at most `limitBytes`, if there is memory for it. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  buffers: CallerBuffers,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    buffers.setProgress({
      unreadBytes: () => 0,
      transferredBytes: () => length,
      isWaitingForCaller: () => length > 0,
      cut: () => request.destroy(),
    });
    const refuse = (type: "tooLarge" | "noMemory") => {
      resolve({ type });
      chunks.length = 0;
      buffers.releaseCall();
      request.removeAllListeners("data");
      request.resume();
    };
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > limitBytes) return refuse("tooLarge");
      chunks.push(chunk);
      buffers.add("bodies", chunk.length);
      if (buffers.exhausted) refuse("noMemory");
    });
    request.on("end", () => {
      const [firstChunk] = chunks;
      resolve({ type: "body", body: chunks.length === 1 && firstChunk ? firstChunk : Buffer.concat(chunks) });
    });
    request.on("error", () => resolve({ type: "broken" }));
    request.on("close", () => resolve({ type: "broken" }));
  });
}
