/**
 * Tests that the client of services recognizes whether an answer is complete when its connection ends or is reset.
 */
import { createServer, type Server } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { HttpPools } from "../../src/ports/http-json.ts";
import { HttpServiceClient } from "../../src/ports/service/http-service-client.ts";
import type { ServiceResult } from "../../src/ports/service/service-client.ts";
import type { ServiceRequest } from "../../src/scheduling/program/records.ts";

const ANSWER_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

let server: Server | undefined;
const pools = new HttpPools();

/**
 * Starts a server that answers with these bytes, and then ends or resets the connection. Resolves with its address.
 */
async function serve(answer: string, end: "end" | "reset"): Promise<string> {
  server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(answer);
      setTimeout(() => (end === "end" ? socket.end() : socket.resetAndDestroy()), 50);
    });
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const bound = server.address();
  return `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`;
}

function send(address: string): Promise<ServiceResult> {
  const request = { method: "POST", path: "/charge", body: "1", contentType: "text/plain" } as ServiceRequest;
  return new HttpServiceClient(pools).send(address, request, "call-1", 2_000);
}

describe("service client", () => {
  afterEach(() => server?.close());

  const CASES: [string, string, "end" | "reset", string][] = [
    ["an answer with a length", `${ANSWER_HEAD}Content-Length: 4\r\n\r\ndone`, "end", "answered"],
    [
      "an answer without a length, ended by closing the connection",
      `${ANSWER_HEAD}\r\ndone`,
      "end",
      "answered",
    ],
    ["an answer without a length whose connection is reset", `${ANSWER_HEAD}\r\ndo`, "reset", "unknown"],
    [
      "an answer that is shorter than its length",
      `${ANSWER_HEAD}Content-Length: 4\r\n\r\ndo`,
      "end",
      "unknown",
    ],
  ];
  it("marks an answer whose end only the connection told as one that may be short", async () => {
    const open = await send(await serve(`${ANSWER_HEAD}\r\ndo`, "end"));
    server?.close();
    const framed = await send(await serve(`${ANSWER_HEAD}Content-Length: 2\r\n\r\ndo`, "end"));
    const marks = [open, framed].map((result) => result.type === "answered" && result.answer);
    expect(marks).toEqual([
      { type: "service", status: 200, contentType: "text/plain", body: "do", mayBeShort: true },
      { type: "service", status: 200, contentType: "text/plain", body: "do" },
    ]);
  });

  for (const [name, answer, end, type] of CASES) {
    it(`reports ${name} as ${type}`, async () => {
      expect((await send(await serve(answer, end))).type as string).toEqual(type);
    });
  }
});
