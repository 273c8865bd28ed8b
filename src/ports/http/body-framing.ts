/** How the end of an answer's body is told (RFC 9112, section 6.3). */
import type { IncomingHttpHeaders } from "node:http";

/** What tells the end of a body. */
export type BodyFraming =
  /** There is none: the answer has no body. */
  | "none"
  | "length"
  | "chunks"
  /** Only the end of the connection, which looks the same if the server breaks off. */
  | "connection";

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FINAL_CODING_IS_CHUNKED = /(^|,)\s*chunked\s*$/i;

/** The framing of an answer to a request with this method. */
export function bodyFramingOf(method: string, status: number, headers: IncomingHttpHeaders): BodyFraming {
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED) return "none";
  const coding = headers["transfer-encoding"];
  if (coding !== undefined) return FINAL_CODING_IS_CHUNKED.test(coding) ? "chunks" : "connection";
  return headers["content-length"] === undefined ? "connection" : "length";
}

/** Throws if nothing but the end of the connection told the end of an answer, so that it may be short. */
export function requireFraming(method: string, status: number, headers: IncomingHttpHeaders): void {
  if (bodyFramingOf(method, status, headers) === "connection")
    throw new Error("nothing but the end of the connection tells whether the answer is whole");
}
