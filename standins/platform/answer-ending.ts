/** How a runner ends an answer, where a test wants another end than a whole answer with the usual framing. */
import type { ServerResponse } from "node:http";

/** Where an answer is cut, counted within one run. */
export interface AnswerCut {
  /** Whole events that are sent before it; for a plain answer, 0. */
  readonly afterEvents: number;
  /** Bytes that are sent of the next event, or of a plain answer's body; if negative, how many are left out. */
  readonly bytes: number;
}

/** The framing and the end of an answer. */
export interface AnswerEnding {
  /** `own`: chunks for a stream, a length for a plain answer. `connection`: neither. */
  readonly framing: "own" | "connection";
  /** Undefined if the whole answer is sent. */
  readonly cut: AnswerCut | undefined;
  /** What follows the last byte: the end that the framing asks for, or only the end of the connection. */
  readonly end: "framed" | "fin" | "reset";
}

/** Makes a response end with its connection. Call it before the head is written. */
export function omitFraming(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

/** Ends a response of which everything that the ending asks for was written. */
export function endAnswer(response: ServerResponse, { end }: AnswerEnding, delayMs: number): void {
  if (end === "framed") response.end();
  else if (end === "fin") response.socket?.end();
  else setTimeout(() => response.socket?.resetAndDestroy(), delayMs);
}
