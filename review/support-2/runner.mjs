/**
 * A runner over HTTP, as PROTOCOL.md describes it: it runs requests, names them in its answers, signs them, and answers 421
 * where another runner is expected. Answers are streams of events for requests with `X-Token-Usage`, and plain otherwise.
 */
import { createServer } from "node:http";

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Runner {
  /** Requests that it has run: their identifiers, bodies and times. */
  runs = [];
  running = 0;
  #server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    void this.#serve(request, response);
  });

  /**
   * @param id its name in the platform's list
   * @param options `events` and `stepMs` of a stream, `slots`; `plain` answers a request that is not a stream
   */
  constructor(id, { events = 4, stepMs = 10, slots = 8, plain = plainAnswer } = {}) {
    this.id = id;
    this.events = events;
    this.stepMs = stepMs;
    this.slots = slots;
    this.plain = plain;
  }

  async listen(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
    return this.address;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Its row in the platform's list. */
  row(service, sequence, state = "ready") {
    const { address, slots } = this;
    const row = { service, address, zone: "mi-nord", version: "v1", slots, state };
    return { ...row, "cold-remaining-ms": 0, sequence };
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString("latin1");
    const id = request.headers["x-request-id"];
    const expected = request.headers["x-expect-instance"];
    if (id === undefined) return void response.writeHead(400, { "X-Not-Executed": "1" }).end();
    if (expected !== undefined && expected !== this.id)
      return void response
        .writeHead(421, { "X-Request-Id": id, "X-Instance-Id": this.id, "X-Not-Executed": "1" })
        .end();
    const headers = { "X-Request-Id": id, "X-Response-Signature": `${this.id}.${id}` };
    const { method, url } = request;
    const run = { id, method, target: url, headers: request.headers, body, atMs: performance.now() };
    this.runs.push(run);
    this.running += 1;
    response.on("close", () => {
      this.running -= 1;
    });
    if (request.headers["x-token-usage"] !== undefined) return this.#stream(run, headers, response);
    await this.plain(run, headers, response, this);
  }

  async #stream(run, headers, response) {
    response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    const first = Number(run.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= this.events; event += 1) {
      await pause(this.stepMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${run.id}-${event}\n\n`);
    }
    response.end();
  }
}

async function plainAnswer(run, headers, response, { stepMs }) {
  await pause(stepMs);
  const text = `done ${run.id}`;
  response.writeHead(200, { ...headers, "Content-Length": String(text.length) }).end(text);
}
