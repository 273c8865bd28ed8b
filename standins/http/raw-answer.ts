/** Reads answers as they come over a connection: how each is framed, and whether it ended as the framing promises. */

/** What tells a caller that the answer is over. */
export type SeenEnd =
  /** The length or the last chunk: the answer says that it is complete. */
  | "framed"
  /** The connection ended in order behind an answer without framing. */
  | "connection"
  /** The connection ended in the middle of what the framing promises, or was reset. */
  | "broken";

/** An answer as it came over the connection. */
export interface RawAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  readonly end: SeenEnd;
}

const HEAD_END = "\r\n\r\n";
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** The answers to requests that were sent behind each other on one connection. */
export interface RawAnswers {
  readonly answers: readonly RawAnswer[];
  /** Whether each request has an answer whose framing says that it is complete. */
  readonly isComplete: boolean;
}

/**
 * Reads the answers in what was received, as latin1 text.
 *
 * @param methods methods of the requests, in the order in which they were sent
 * @param isReset whether the connection has not ended in order
 */
export function parseAnswers(received: string, methods: readonly string[], isReset: boolean): RawAnswers {
  const answers: RawAnswer[] = [];
  let rest = received;
  for (const method of methods) {
    const parsed = parseAnswer(rest, method, isReset);
    if (!parsed) break;
    answers.push(parsed.answer);
    rest = parsed.rest;
  }
  const isComplete = answers.length === methods.length && answers.every(({ end }) => end === "framed");
  return { answers, isComplete };
}

function parseAnswer(
  text: string,
  method: string,
  isReset: boolean,
): { readonly answer: RawAnswer; readonly rest: string } | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [statusLine = "", ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = new Map(lines.map((line) => splitHeader(line)));
  const status = Number(statusLine.split(" ")[1]);
  const body = text.slice(headEnd + HEAD_END.length);
  const answer = (content: string, end: SeenEnd) => ({ status, headers, body: content, end });
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED)
    return { answer: answer("", "framed"), rest: body };
  if (headers.get("transfer-encoding") === "chunked") {
    const { content, rest, isWhole } = parseChunks(body);
    return { answer: answer(content, isWhole ? "framed" : "broken"), rest };
  }
  const length = headers.get("content-length");
  if (length === undefined) return { answer: answer(body, isReset ? "broken" : "connection"), rest: "" };
  const isWhole = body.length >= Number(length);
  return {
    answer: answer(body.slice(0, Number(length)), isWhole ? "framed" : "broken"),
    rest: body.slice(Number(length)),
  };
}

function splitHeader(line: string): [string, string] {
  const separator = line.indexOf(":");
  return [line.slice(0, separator).toLowerCase(), line.slice(separator + 1).trim()];
}

function parseChunks(body: string): {
  readonly content: string;
  readonly rest: string;
  readonly isWhole: boolean;
} {
  let content = "";
  let rest = body;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n");
    const length = Number.parseInt(rest.slice(0, lineEnd), 16);
    const end = lineEnd + 2 + length;
    if (lineEnd < 0 || rest.length < end + 2) return { content, rest, isWhole: false };
    content += rest.slice(lineEnd + 2, end);
    rest = rest.slice(end + 2);
    if (length === 0) return { content, rest, isWhole: true };
  }
}
