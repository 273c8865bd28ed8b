/** Answers to a caller that reads slowly, over a connection of which the test decides when data is read. */
import { createServer, type Server } from "node:http";
import { Duplex } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { BufferLimiter } from "../../src/gateway/buffers/buffer-limiter.ts";
import { CallerBuffers } from "../../src/gateway/buffers/caller-buffers.ts";
import { CallerExchange } from "../../src/gateway/ingress/caller-exchange.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const MAX_HELD_BYTES = 1_000_000;
/** More than is buffered for one caller before its runner has to wait. */
const CHUNK = Buffer.alloc(100_000, "x");

/** A connection whose other side completes a write only when the test says so. */
class SlowConnection extends Duplex {
  received = "";
  #completeWrite: (() => void) | undefined;

  override _read(): void {}

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.#completeWrite = () => {
      this.received += chunk.toString("latin1");
      done();
    };
  }

  /** Completes writes until none is pending. */
  async receiveAll(): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      const completeWrite = this.#completeWrite;
      if (!completeWrite) return;
      this.#completeWrite = undefined;
      completeWrite();
    }
  }
}

describe("an answer to a caller that reads slowly", () => {
  let server: Server;
  let limiter: BufferLimiter;
  let buffers: CallerBuffers;
  let connection: SlowConnection;
  let exchange: CallerExchange;

  beforeEach(async () => {
    const context = await gatewayContext("gateway", "127.0.0.1:1");
    const settings = { ...context.settings, buffers: { mostBytes: MAX_HELD_BYTES, memoryMb: 1 } };
    limiter = new BufferLimiter({ ...context, settings });
    buffers = new CallerBuffers(limiter);
    connection = new SlowConnection();
    server = createServer();
    exchange = await new Promise((resolve) => {
      server.on("request", (request, response) => {
        const head = { host: "h", path: "/", headers: {}, bodyBytes: 0, arrivedAtMs: 0 };
        resolve(new CallerExchange(request, response, Buffer.alloc(0), head, buffers, () => false));
      });
      server.emit("connection", connection);
      connection.push("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    });
  });

  afterEach(() => {
    connection.destroy();
    server.close();
  });

  it("arrives complete and in order, even if it was ended long before", async () => {
    exchange.start(200, []);
    for (const letter of ["x", "y", "z"]) exchange.write(Buffer.alloc(100_000, letter));
    exchange.end();
    expect(limiter.heldFor("answers") >= 300_000).toEqual(true);
    await connection.receiveAll();
    const letters = connection.received
      .slice(connection.received.indexOf("\r\n\r\n"))
      .replaceAll(/[^xyz]/g, "");
    const expected = "x".repeat(100_000) + "y".repeat(100_000) + "z".repeat(100_000);
    expect(letters === expected).toEqual(true);
    expect(connection.received.endsWith("0\r\n\r\n")).toEqual(true);
    expect([exchange.gone, limiter.heldBytes]).toEqual([false, 0]);
  });

  it("arrives complete if it is sent in one piece", async () => {
    exchange.answer(200, [], CHUNK);
    await connection.receiveAll();
    expect(connection.received.endsWith(`\r\n\r\n${CHUNK.toString("latin1")}`)).toEqual(true);
    expect(limiter.heldBytes).toEqual(0);
  });

  it("is full until the caller has read enough", async () => {
    let drains = 0;
    exchange.onDrain(() => {
      drains += 1;
    });
    exchange.start(200, []);
    exchange.write(CHUNK);
    expect([exchange.isFull, drains]).toEqual([true, 0]);
    await connection.receiveAll();
    expect([exchange.isFull, drains > 0]).toEqual([false, true]);
  });

  it("counts as idle only while nothing is read, and is dropped when it is cut", async () => {
    let isGone = false;
    exchange.onGone(() => {
      isGone = true;
    });
    exchange.start(200, []);
    exchange.write(CHUNK);
    buffers.update(250);
    buffers.update(250);
    expect(buffers.idleMs >= 250).toEqual(true);
    exchange.write(CHUNK);
    buffers.update(250);
    expect(buffers.idleMs >= 500).toEqual(true);
    const receiving = connection.receiveAll();
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    buffers.update(250);
    expect(buffers.idleMs).toEqual(0);
    buffers.cut();
    exchange.write(CHUNK);
    expect([isGone, exchange.wasCut, limiter.heldBytes]).toEqual([true, true, 0]);
    await receiving;
  });
});
