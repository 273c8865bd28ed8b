/** A caller on a bare connection, which sees how an answer is framed and how it ends. */
import { connect } from "node:net";
import { TEST_HOST, type TestGateway } from "./gateway-cluster.ts";

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

/** A request of a caller that knows HTTP only in this version. */
export interface RawRequest {
  readonly method?: string;
  readonly path: string;
  readonly version?: "1.0" | "1.1";
  readonly headers: Readonly<Record<string, string>>;
}

const TIMEOUT_MS = 5_000;
const HEAD_END = "\r\n\r\n";

/** Sends requests behind each other on one connection without waiting, and reads the answers until it ends. */
export async function sendRaw(gateway: TestGateway, ...requests: RawRequest[]): Promise<RawAnswer[]> {
  const text = requests.map(requestText).join("");
  const { received, isReset } = await readUntilEnd(gateway, text, requests);
  return parseAnswers(received, requests, isReset).answers;
}

interface Received {
  readonly received: string;
  readonly isReset: boolean;
}

function readUntilEnd(
  gateway: TestGateway,
  text: string,
  requests: readonly RawRequest[],
): Promise<Received> {
  const [host, port] = gateway.addresses.callers.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let received = "";
    const finish = (isReset: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ received, isReset });
    };
    const timer = setTimeout(() => finish(true), TIMEOUT_MS);
    socket.setEncoding("latin1");
    socket.on("connect", () => socket.write(text));
    socket.on("data", (chunk) => {
      received += String(chunk);
      if (parseAnswers(received, requests, true).isComplete) finish(false);
    });
    socket.on("end", () => finish(false));
    socket.on("error", () => finish(true));
  });
}

function requestText({ method = "POST", path, version = "1.1", headers }: RawRequest): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const body = method === "HEAD" ? "" : "input";
  const head = [`${method} ${path} HTTP/${version}`, `Host: ${TEST_HOST}`, `Content-Length: ${body.length}`];
  return `${[...head, ...lines].join("\r\n")}${HEAD_END}${body}`;
}

/** The answers in what was received. They are complete if each of them is framed and has ended. */
function parseAnswers(
  received: string,
  requests: readonly RawRequest[],
  isReset: boolean,
): { readonly answers: RawAnswer[]; readonly isComplete: boolean } {
  const answers: RawAnswer[] = [];
  let rest = received;
  for (const request of requests) {
    const parsed = parseAnswer(rest, request, isReset);
    if (!parsed) break;
    answers.push(parsed.answer);
    rest = parsed.rest;
  }
  const isComplete = answers.length === requests.length && answers.every(({ end }) => end === "framed");
  return { answers, isComplete };
}

function parseAnswer(
  text: string,
  { method }: RawRequest,
  isReset: boolean,
): { readonly answer: RawAnswer; readonly rest: string } | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [statusLine = "", ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = new Map(lines.map((line) => splitHeader(line)));
  const status = Number(statusLine.split(" ")[1]);
  const body = text.slice(headEnd + HEAD_END.length);
  const answer = (content: string, end: SeenEnd) => ({ status, headers, body: content, end });
  if (method === "HEAD" || status === 204 || status === 304)
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
