/** Serves the platform's metadata store over HTTP, with faults that tests enable. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type ModelKey, type ModelRow, RowStoreModel } from "./row-store-model.ts";

/** A fault that affects the following calls. */
export type StoreFault =
  | "none"
  /** Responds with 503 and does not execute the call. */
  | "busy"
  /** Responds with 429 and does not execute the call. */
  | "throttled"
  /** Neither executes the call nor responds. */
  | "silent"
  /** Resets the connection without executing the call. */
  | "reset"
  /** Executes writes, but does not respond. */
  | "lostAnswer"
  /** Executes writes after a delay, and does not respond. */
  | "lateWrite";

interface WireKey {
  readonly table: string;
  readonly part: string;
  readonly "tls-key": string;
}

interface WireTransaction {
  readonly "expected-rev"?: readonly (WireKey & { readonly ver: number })[];
  readonly put?: readonly (WireKey & { readonly value: string })[];
  readonly remove?: readonly WireKey[];
}

const MAX_ENTRIES = 100;
const MAX_ROWS_READ = 500;

/** An HTTP server in front of a {@link RowStoreModel}. */
export class RowStoreStandin {
  readonly model = new RowStoreModel();
  /** Delay before each call is executed, in ms. */
  delayMs = 0;
  /** Delay of a write under the fault `lateWrite`, in ms. */
  lateWriteMs = 200;
  fault: StoreFault = "none";
  /** Faults of calls to individual parts; they take precedence over {@link fault}. */
  readonly partFaults = new Map<string, StoreFault>();
  /** Number of calls accepted, by kind. */
  readonly counts = { writes: 0, reads: 0, watches: 0 };
  /** Number of calls that got 503 or 429. */
  refused = 0;
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => void this.#serve(request, response));
  }

  /** Listens on the loopback interface and returns `IP:port`. Port 0 selects a free port. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, "127.0.0.1", resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row with an empty part name, as operators and runners do. */
  put(table: string, key: string, value: unknown): number {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    return this.model.transact({ conditions: [], puts: [{ table, part: "", key, value: text }], removes: [] })
      .version;
  }

  /** Removes a row with an empty part name. */
  remove(table: string, key: string): void {
    this.model.transact({ conditions: [], puts: [], removes: [{ table, part: "", key }] });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const body = await readText(request);
    const fault = this.partFaults.get(partOf(url, body)) ?? this.fault;
    if (fault === "reset") return void request.socket.resetAndDestroy();
    if (fault === "silent") return;
    if (this.delayMs > 0) await pause(this.delayMs);
    if (fault === "busy" || fault === "throttled") this.refused += 1;
    if (fault === "busy") return sendJson(response, 503, { error: "busy" });
    if (fault === "throttled") return sendJson(response, 429, { error: "throttled" });
    switch (url.pathname) {
      case "/tulipwheel/rows-tx":
        return this.#transact(JSON.parse(body) as WireTransaction, response, fault);
      case "/tulipwheel/rows-get":
        return this.#read(url.searchParams, response);
      case "/tulipwheel/rows-feed":
        return this.#watch(url.searchParams, response);
      default:
        return sendJson(response, 404, { error: "no such call" });
    }
  }

  async #transact(wire: WireTransaction, response: ServerResponse, fault: StoreFault): Promise<void> {
    this.counts.writes += 1;
    const conditions = wire["expected-rev"] ?? [];
    const puts = wire.put ?? [];
    const removes = wire.remove ?? [];
    const entries = [...conditions, ...puts, ...removes];
    const parts = new Set(entries.map((entry) => entry.part));
    if (entries.length > MAX_ENTRIES || parts.size > 1) return sendJson(response, 400, { error: "too much" });
    if (fault === "lateWrite") await pause(this.lateWriteMs);
    const outcome = this.model.transact({
      conditions: conditions.map((entry) => ({ ...keyOf(entry), version: entry.ver })),
      puts: puts.map((entry) => ({ ...keyOf(entry), value: entry.value })),
      removes: removes.map(keyOf),
    });
    if (fault === "lostAnswer" || fault === "lateWrite") return;
    if (outcome.committed) return sendJson(response, 200, { ver: outcome.version });
    sendJson(response, 412, { ver: outcome.version, rows: outcome.rows.map(toWireRow) });
  }

  #read(query: URLSearchParams, response: ServerResponse): void {
    this.counts.reads += 1;
    const limit = Math.min(MAX_ROWS_READ, Number(query.get("limit") ?? MAX_ROWS_READ));
    const until = query.get("target-version") ?? undefined;
    const rows = this.model.read(
      query.get("table") ?? "",
      query.get("part") ?? "",
      query.get("from") ?? "",
      until,
    );
    const more = rows.length > limit;
    sendJson(response, 200, { rows: rows.slice(0, limit).map(toWireRow), more, ver: this.model.version });
  }

  async #watch(query: URLSearchParams, response: ServerResponse): Promise<void> {
    this.counts.watches += 1;
    const table = query.get("table") ?? "";
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("wait-ms"));
    for (;;) {
      const changes = this.model.changes(table, after);
      if (!changes) return sendJson(response, 410, { error: "history gone" });
      const leftMs = untilMs - performance.now();
      if (changes.length > 0 || leftMs <= 0) {
        return sendJson(response, 200, { rows: changes.map(toWireRow), ver: this.model.version });
      }
      await Promise.race([pause(leftMs), new Promise<void>((wake) => this.model.onNextChange(wake))]);
    }
  }
}

/** The part that a call addresses, or an empty string if it names none. */
function partOf(url: URL, body: string): string {
  if (body === "") return url.searchParams.get("part") ?? "";
  const { put = [], remove = [], "expected-rev": expected = [] } = JSON.parse(body) as WireTransaction;
  return [...put, ...remove, ...expected][0]?.part ?? "";
}

function keyOf(entry: WireKey): ModelKey {
  return { table: entry.table, part: entry.part, key: entry["tls-key"] };
}

function toWireRow({ table, part, key, value, version }: ModelRow) {
  const row = { table, part, "tls-key": key, ver: version };
  return value === undefined ? { ...row, gone: true } : { ...row, value };
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}

async function readText(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });
}
