import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../../runtime/byte-collector.ts";
import type { CallerBuffers } from "../buffers/caller-buffers.ts";

/** How reading a request's body ended. */
export type BodyOutcome =
  | { readonly type: "body"; readonly body: Buffer }
  | { readonly type: "tooLarge" }
  /** There is no memory for the body. */
  | { readonly type: "noMemory" }
  /** The caller disconnected, or violated the protocol, before the body was complete. */
  | { readonly type: "broken" };

/**
 * Reads a complete body of at most `limitBytes`, if there is memory for it. The body is collected in one buffer, so that it
 * costs as much in small chunks as in large ones.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  buffers: CallerBuffers,
): Promise<BodyOutcome> {
  return new Promise((resolve) => {
    const body = new ByteCollector();
    buffers.setProgress({
      unreadBytes: () => 0,
      transferredBytes: () => body.length,
      isWaitingForCaller: () => true,
      cut: () => request.destroy(),
    });
    buffers.setReceiving(true);
    const finish = (outcome: BodyOutcome) => {
      buffers.setReceiving(false);
      resolve(outcome);
    };
    const refuse = (type: "tooLarge" | "noMemory") => {
      finish({ type });
      body.clear();
      buffers.releaseCall();
      request.removeAllListeners("data");
      request.resume();
    };
    request.on("data", (chunk: Buffer) => {
      if (body.length + chunk.length > limitBytes) return refuse("tooLarge");
      body.push(chunk);
      buffers.set("bodies", body.capacity);
      if (buffers.refusesRest) refuse("noMemory");
    });
    request.on("end", () => finish({ type: "body", body: body.bytes }));
    request.on("error", () => finish({ type: "broken" }));
    request.on("close", () => finish({ type: "broken" }));
  });
}
