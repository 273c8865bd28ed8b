import type { IncomingMessage, ServerResponse } from "node:http";
import type { Problem } from "../../errors/problem.ts";
import { problemOfError, requestError } from "../../errors/tulipwheel-error.ts";

const MS_PER_SECOND = 1_000;
/** Maximum number of bytes buffered for a caller that does not read its response. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** One request and its response, with helpers for every route. */
export class HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly #bodyBytes: number;

  /** @param bodyBytes the maximum size of a request body */
  constructor(request: IncomingMessage, response: ServerResponse, bodyBytes: number) {
    this.request = request;
    this.response = response;
    this.url = parseUrl(request.url);
    this.#bodyBytes = bodyBytes;
  }

  /** The method of the request. */
  get method(): string {
    return this.request.method ?? "GET";
  }

  /** Returns a header's value, or the first one if there are several. */
  header(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Reads the whole body as text; throws `body-too-large`, or `request-timeout` if the request breaks off. */
  text(): Promise<string> {
    return new Promise((resolve, reject) => {
      const parts: Buffer[] = [];
      let length = 0;
      this.request.on("data", (part: Buffer) => {
        length += part.length;
        // Reads and discards the excess, so that the caller can receive the response.
        if (length <= this.#bodyBytes) parts.push(part);
        else reject(bodyTooLargeError(this.#bodyBytes));
      });
      this.request.on("end", () => resolve(Buffer.concat(parts).toString("utf8")));
      this.request.on("error", () => reject(requestError("request-timeout", "The request broke off.")));
    });
  }

  /** Reads the whole body as JSON; throws `invalid-request` if it is not JSON. */
  async json(): Promise<unknown> {
    const text = await this.text();
    try {
      return JSON.parse(text);
    } catch (error) {
      throw requestError("invalid-request", `The body is not JSON (${(error as Error).message}).`);
    }
  }

  /** Lets only the end of the connection tell the end of the response. Call it before the head is sent. */
  leaveEndOpen(): void {
    this.response.shouldKeepAlive = false;
    this.response.useChunkedEncodingByDefault = false;
  }

  /** Sends a JSON response. */
  sendJson(status: number, body: unknown, headers: Record<string, string> = {}): void {
    const content = Buffer.from(JSON.stringify(body));
    this.response.writeHead(status, {
      "content-type": "application/json",
      ...headers,
      "content-length": content.length,
    });
    this.response.end(content);
  }

  /** Sends a problem document (RFC 9457). Breaks the response off if its headers were already sent. */
  sendProblem(problem: Problem): void {
    if (this.response.headersSent) return void this.response.destroy();
    if (!this.request.complete) this.response.setHeader("connection", "close");
    const content = Buffer.from(JSON.stringify(problemDocument(problem)));
    this.response.writeHead(problem.status, {
      "content-type": "application/problem+json",
      "content-length": content.length,
      ...retryAfterHeader(problem),
    });
    this.response.end(content);
  }

  /** Sends the problem document of an error. */
  sendError(error: unknown): void {
    this.sendProblem(problemOfError(error));
  }

  /** Starts a stream of server-sent events. */
  startEvents(headers: Record<string, string>): void {
    this.response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      ...headers,
    });
    this.response.flushHeaders();
  }

  /** Sends one event. Closes the connection of a caller that does not read. */
  sendEvent(data: string): void {
    if (this.response.writableLength > MAX_UNSENT_BYTES) this.response.destroy();
    else this.response.write(`data: ${data}\n\n`);
  }
}

/** Returns a problem in the format of RFC 9457, with additional members of tulipwheel. */
export function problemDocument(problem: Problem): object {
  const { kind, title, status, detail, outcome, remedy, retriable, retryAfterMs } = problem;
  return {
    type: `urn:tulipwheel:problem:${kind}`,
    title,
    status,
    detail,
    kind,
    outcome,
    remedy,
    retriable,
    retryAfterMs,
  };
}

function retryAfterHeader({ retryAfterMs }: Problem): Record<string, string> {
  if (retryAfterMs === undefined) return {};
  return { "retry-after": String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))) };
}

function bodyTooLargeError(limit: number) {
  return requestError("body-too-large", `The body is larger than ${limit} bytes.`);
}

function parseUrl(path: string | undefined): URL {
  try {
    return new URL(path ?? "/", "http://node");
  } catch {
    return new URL("http://node/");
  }
}
