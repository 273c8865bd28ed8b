/** Answers of a faulty runner that come without end, until their caller closes the connection. */
import type { Socket } from "node:net";

/** The part of an answer that does not end. */
export type EndlessForm =
  | "failure"
  | "notRun"
  | "body"
  | "tinyChunks"
  | "noEvents"
  | "event"
  | "comments"
  | "headerLines"
  | "header"
  | "trailers"
  | "interim"
  | "chunkExtension";

const PIECE_BYTES = 65_536;

/** What an answer begins with, and what is repeated after that. */
interface EndlessAnswer {
  readonly start: readonly string[];
  readonly repeated: string;
}

const CHUNKED = "Transfer-Encoding: chunked";
/** One chunk that holds the given bytes without end, as far as a reader can tell. */
const HUGE_CHUNK = "ffffffffff";

function answerOf(form: EndlessForm, identity: readonly string[]): EndlessAnswer {
  const ok = ["HTTP/1.1 200 OK", ...identity];
  const chunked = [...ok, CHUNKED, ""];
  switch (form) {
    case "failure":
      return {
        start: ["HTTP/1.1 500 Failed", ...identity, CHUNKED, "", HUGE_CHUNK, ""],
        repeated: "failed ",
      };
    case "notRun":
      return {
        start: ["HTTP/1.1 503 Full", ...identity, "X-Not-Executed: 1", CHUNKED, "", HUGE_CHUNK, ""],
        repeated: "full ",
      };
    case "body":
      return { start: [...chunked, HUGE_CHUNK, ""], repeated: "something " };
    case "tinyChunks":
      return { start: [...chunked, ""], repeated: "1\r\nx\r\n" };
    case "noEvents":
      return { start: [...chunked, HUGE_CHUNK, ""], repeated: "a line\n" };
    case "event":
      return { start: [...chunked, HUGE_CHUNK, "id: 1\ndata: "], repeated: "token " };
    case "comments":
      return { start: [...chunked, HUGE_CHUNK, ""], repeated: ": comment\n" };
    case "headerLines":
      return { start: [...ok, ""], repeated: "a: b\r\n" };
    case "header":
      return { start: [...ok, "a: "], repeated: "b" };
    case "trailers":
      return { start: [...chunked, "1", "x", "0", ""], repeated: "a: b\r\n" };
    case "interim":
      return { start: [], repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" };
    case "chunkExtension":
      return { start: [...chunked, "1;a="], repeated: "b" };
  }
}

/** Sends such an answer, as fast as it is read. Returns when the connection is closed. */
export async function sendEndless(
  socket: Socket,
  form: EndlessForm,
  headers: Readonly<Record<string, string>>,
): Promise<void> {
  const identity = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const { start, repeated } = answerOf(form, identity);
  const piece = Buffer.from(repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length)));
  socket.on("error", () => undefined);
  socket.write(start.join("\r\n"));
  while (!socket.destroyed) {
    const isTaken = socket.write(piece);
    await new Promise<void>((resolve) => {
      if (isTaken) return setImmediate(resolve);
      socket.once("drain", resolve).once("close", resolve);
    });
  }
}
