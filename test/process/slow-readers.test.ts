/** Callers that read slowly or not at all, at a gateway that is a separate process. */
import { createConnection, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { type CallerAnswer, call, newRequestId, send, turn } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, TEST_HOST, type TestGateway } from "./support/gateway-cluster.ts";
import { TestAddresses } from "./support/test-addresses.ts";

/** What silent callers may cost the gateway beside the memory that callers cost who read. */
const SPARE_BYTES = 60_000_000;
/** What may be counted as held; the rest is for objects, and for what lies unread on the connections of runners. */
const MOST_BYTES = SPARE_BYTES / 2;
const SILENT_CALLERS = 200;
const SLOW_CALLERS = 5;
/** A caller that reads takes so much of what is there, so often. */
const SLOW_PIECE_BYTES = 32_768;
const SLOW_PAUSE_MS = 10;
/** Together more than the system itself keeps for a connection that is not read. */
const EVENTS = 220;
const EVENT_BYTES = 25_000;
const TURN_TIMEOUT_MS = 30_000;
const LOAD_MS = 6_000;
/** Longer than callers that have stopped are waited for. */
const RELIEF_MS = 8_000;
/** Just under the limit of a body, and of all bodies together less than an answer needs. */
const BODY_BYTES = 990_000;
const ROOM_LEFT_BYTES = 20_000;
const OK = 200;
const UNKNOWN_OUTCOME = 502;
const UNAVAILABLE = 503;

class SmallCluster extends GatewayCluster {
  static override async start(gateways: number, engines: number, services: number): Promise<SmallCluster> {
    const cluster = new SmallCluster(new TestAddresses());
    await cluster.startAll(gateways, engines, services);
    cluster.configure({ version: 2, timeoutMs: TURN_TIMEOUT_MS });
    return cluster;
  }

  protected override get moreSettings(): object {
    return { buffers: { mostBytes: MOST_BYTES } };
  }
}

let cluster: SmallCluster;
const sockets: Socket[] = [];

function onlyGateway(): TestGateway {
  return cluster.gateways[0] as TestGateway;
}

/** Sends the head of a request and the body so far, without reading an answer. */
function begin(path: string, headers: readonly string[], body: string): Socket {
  const [host, port] = onlyGateway().addresses.callers.split(":");
  const socket = createConnection({ host: host as string, port: Number(port) });
  sockets.push(socket);
  socket.on("error", () => undefined);
  socket.pause();
  const head = [
    `POST ${path} HTTP/1.1`,
    `Host: ${TEST_HOST}`,
    `X-Deadline-Ms: ${TURN_TIMEOUT_MS}`,
    ...headers,
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n${body}`);
  return socket;
}

/** Asks for a stream without reading it. */
function beginTurn(path: string, id: string, eventBytes: number): Socket {
  const headers = [
    `X-Request-Id: ${id}`,
    `X-Program-Id: ${id}`,
    "X-Token-Usage: 100,100",
    "X-Model: m",
    `X-Test-Filling-Bytes: ${eventBytes}`,
    "Content-Length: 5",
  ];
  return begin(path, headers, "input");
}

function beginLongTurn(): Socket {
  return beginTurn(PATHS.turn, newRequestId(), EVENT_BYTES);
}

/** Reads a stream in small pieces; returns it, or undefined when it is cut. */
async function readSlowly(socket: Socket): Promise<string | undefined> {
  let text = "";
  while (!socket.destroyed) {
    const piece = socket.read(Math.min(SLOW_PIECE_BYTES, socket.readableLength)) as Buffer | null;
    if (piece) text += piece.toString("latin1");
    if (text.endsWith("0\r\n\r\n")) return text;
    await pause(SLOW_PAUSE_MS);
  }
  return undefined;
}

/** Reads a stream as fast as it comes. */
function readFast(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on("data", (chunk) => {
      if (chunk.subarray(-5).toString("latin1") === "0\r\n\r\n") resolve();
    });
    socket.on("close", () => resolve());
    socket.resume();
  });
}

/** The sum of the gateway's metrics whose names begin so. */
async function metric(name: string): Promise<number> {
  const answer = await fetch(`http://${onlyGateway().addresses.metrics}/metrics`);
  const lines = (await answer.text()).split("\n");
  const named = lines.filter((line) => line.startsWith(`tulipwheel_gateway_${name}`));
  return named.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

function endAll(): void {
  for (const socket of sockets.splice(0)) socket.destroy();
}

/** Sends bodies that fill the memory, and not their ends. */
function beginBodies(): void {
  let leftBytes = MOST_BYTES - ROOM_LEFT_BYTES;
  while (leftBytes > 0) {
    const bytes = Math.min(leftBytes, BODY_BYTES);
    leftBytes -= bytes;
    const headers = [`X-Request-Id: ${newRequestId()}`, "Transfer-Encoding: chunked"];
    begin(PATHS.unsafe, headers, `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`);
  }
}

/** Calls until an answer has this status. */
async function firstWith(status: number): Promise<{ id: string; answer: CallerAnswer }> {
  const untilMs = performance.now() + RELIEF_MS;
  for (;;) {
    const id = newRequestId();
    const answer = await call(onlyGateway(), PATHS.safe, id);
    if (answer.status === status) return { id, answer };
    if (performance.now() > untilMs)
      throw new Error(`no answer with status ${status}, ${answer.status} at last`);
    await pause(20);
  }
}

function anotherCall(): Promise<CallerAnswer> {
  return call(onlyGateway(), PATHS.safe, newRequestId());
}

describe("slow readers", () => {
  afterEach(async () => {
    endAll();
    await cluster?.stop();
  });

  it("cost a gateway no more than it has to spare, and callers that read nothing", async (test) => {
    cluster = await SmallCluster.start(1, 4, 1);
    for (const engine of cluster.engines) engine.events = EVENTS;
    const { process } = onlyGateway();
    await Promise.all(Array.from({ length: SILENT_CALLERS }, () => readFast(beginLongTurn())));
    endAll();
    const beforeBytes = await process.memoryBytes();
    const slow = Array.from({ length: SLOW_CALLERS }, () => readSlowly(beginLongTurn()));
    for (let index = 0; index < SILENT_CALLERS; index += 1) beginLongTurn();
    let mostBytes = beforeBytes;
    const others: number[] = [];
    const untilMs = performance.now() + LOAD_MS;
    while (performance.now() < untilMs) {
      others.push((await anotherCall()).status);
      mostBytes = Math.max(mostBytes, await process.memoryBytes());
      await pause(20);
    }
    test.diagnostic(`memory before: ${beforeBytes} bytes, at most: ${mostBytes}`);
    expect(process.ended).toEqual(false);
    expect(mostBytes - beforeBytes <= SPARE_BYTES).toEqual(true);
    expect(others.filter((status) => status !== OK)).toEqual([]);
    for (const text of await Promise.all(slow)) expect(text?.includes(`id: ${EVENTS}\n`)).toEqual(true);
    expect((await metric("reader_cuts_total")) > 0).toEqual(true);
    expect(process.written.includes("slow reader cut")).toEqual(true);
    endAll();
    await pause(500);
    expect(await metric("held_")).toEqual(0);
  });

  it("get what was made for them late, and their turns are kept meanwhile", async () => {
    cluster = await SmallCluster.start(1, 1, 0);
    const id = newRequestId();
    const late = beginTurn(PATHS.kept, id, EVENT_BYTES);
    await pause(500);
    const next = await turn(onlyGateway(), PATHS.kept, newRequestId(), { program: id, previous: id });
    expect(next.status).toEqual(OK);
    expect((await readSlowly(late))?.includes("id: 4\n")).toEqual(true);
  });

  it("are not needed to fill a gateway: a plain answer that does not fit is given up", async () => {
    cluster = await SmallCluster.start(1, 0, 1);
    const headers = { "X-Request-Id": newRequestId(), "X-Test-Filling-Bytes": String(2 * MOST_BYTES) };
    const answer = await send(onlyGateway(), "POST", PATHS.unsafe, headers, "input");
    expect(answer.status).toEqual(UNKNOWN_OUTCOME);
    expect((await anotherCall()).status).toEqual(OK);
    await pause(500);
    expect(await metric("held_")).toEqual(0);
  });

  it("keep new requests out while their bodies fill the memory, until they are cut", async () => {
    cluster = await SmallCluster.start(1, 0, 1);
    const [service] = cluster.services;
    beginBodies();
    const refused = await firstWith(UNAVAILABLE);
    expect(Number(refused.answer.headers["retry-after"]) > 0).toEqual(true);
    expect(service?.executedRequests.some(({ id }) => id === refused.id)).toEqual(false);
    expect((await firstWith(OK)).answer.status).toEqual(OK);
    endAll();
    await pause(500);
    expect(await metric("held_")).toEqual(0);
  });
});
