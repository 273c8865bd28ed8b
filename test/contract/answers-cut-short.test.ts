/** Readers and writers of nodes beside answers that were broken off. */
import { createServer as createHttpServer, type Server as HttpServer, request } from "node:http";
import { createServer, type Server } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { problemOf } from "../../src/errors/tulipwheel-error.ts";
import { HttpExchange } from "../../src/node/ingress/http-exchange.ts";
import type { Ingress } from "../../src/node/ingress/ingress.ts";
import { handleServiceCall } from "../../src/node/ingress/service-calls.ts";
import { bodyFramingOf } from "../../src/ports/http/body-framing.ts";
import { HttpJsonClient, HttpPools } from "../../src/ports/http-json.ts";
import { HttpObjectStore } from "../../src/ports/objects/http-object-store.ts";
import type { ServiceAnswer } from "../../src/scheduling/program/records.ts";

const MAX_BODY_BYTES = 1_000;

let server: Server | HttpServer | undefined;

async function addressOf(started: Server | HttpServer): Promise<string> {
  server = started;
  await new Promise<void>((resolve) => started.listen(0, "127.0.0.1", resolve));
  const bound = started.address();
  return `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`;
}

/** Starts a server that answers with these bytes, and ends the connection in order. */
function serve(answer: string): Promise<string> {
  return addressOf(
    createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => socket.end(answer));
    }),
  );
}

/** What a caller sees of an answer: its headers, its body, and whether it looks complete. */
async function read(address: string): Promise<{ headers: NodeJS.Dict<string | string[]>; end: string }> {
  return new Promise((resolve) => {
    const sent = request(`http://${address}/v1/services/s/x`, { method: "POST" }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve({ headers: answer.headers, end: "complete" }));
      answer.on("error", () => resolve({ headers: answer.headers, end: "broken" }));
    });
    sent.end();
  });
}

describe("answers that were broken off, at nodes", () => {
  afterEach(() => server?.close());

  it("are not taken for whole objects or rows without framing", async () => {
    const pools = new HttpPools();
    const address = await serve("HTTP/1.1 200 OK\r\n\r\n[1]");
    await expect(new HttpObjectStore(pools, address).get("key")).toBeRejected();
    await expect(new HttpJsonClient(pools).exchange(address, "GET", "/x")).toBeRejected();
    server?.close();
    const empty = await serve("HTTP/1.1 200 OK\r\n\r\n");
    await expect(new HttpJsonClient(pools).exchange(empty, "GET", "/x")).toBeRejected();
    await pools.close();
  });

  for (const [name, mayBeShort, length] of [
    ["state no length of a service's answer that may be short", { mayBeShort: true } as const, undefined],
    ["state the length of a service's answer that is whole", {}, "4"],
  ] as const)
    it(name, async () => {
      const answer: ServiceAnswer = {
        type: "service",
        status: 200,
        contentType: "text/plain",
        body: "part",
        ...mayBeShort,
      };
      const session = { call: "call", result: Promise.resolve({ type: "answered", number: 1, answer }) };
      const ingress = { makeCall: async () => session } as unknown as Ingress;
      const address = await addressOf(
        createHttpServer((incoming, response) => {
          const exchange = new HttpExchange(incoming, response, MAX_BODY_BYTES);
          void handleServiceCall(ingress, exchange, {} as never);
        }),
      );
      const { headers } = await read(address);
      expect([headers["content-length"], headers["transfer-encoding"]]).toEqual([length, undefined]);
    });

  it("are broken off for the caller when a stream that has begun fails", async () => {
    const address = await addressOf(
      createHttpServer((incoming, response) => {
        const exchange = new HttpExchange(incoming, response, MAX_BODY_BYTES);
        exchange.startEvents({});
        exchange.sendEvent("text");
        setTimeout(() => exchange.sendProblem(problemOf("answer-interrupted", "It failed.")), 20);
      }),
    );
    expect((await read(address)).end).toEqual("broken");
  });
});

describe("framing of an answer", () => {
  for (const [method, status, headers, framing] of [
    ["GET", 200, { "content-length": "4" }, "length"],
    ["GET", 200, { "transfer-encoding": "chunked" }, "chunks"],
    ["GET", 200, { "transfer-encoding": "gzip, Chunked" }, "chunks"],
    ["GET", 200, { "transfer-encoding": "chunked, gzip" }, "connection"],
    ["GET", 200, {}, "connection"],
    ["HEAD", 200, {}, "none"],
    ["GET", 204, {}, "none"],
    ["GET", 304, { "content-length": "4" }, "none"],
  ] as const)
    it(`is ${framing} for ${method} ${status} ${JSON.stringify(headers)}`, () => {
      expect(bodyFramingOf(method, status, headers)).toEqual(framing);
    });
});
