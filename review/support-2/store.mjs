/**
 * The platform's metadata store over HTTP, as PROTOCOL.md describes it: rows with versions, transactions with conditions,
 * reads, and a feed of changes. It keeps to the limits of that page and refuses calls beyond them with 400.
 */
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;
const MAX_KEY_BYTES = 200;
const MAX_VALUE_BYTES = 65_536;
const MAX_ROWS_READ = 500;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiting = [];
  #server = createServer((request, response) => void this.#serve(request, response));
  /** Called with each refused call: its path and the reason. */
  onRefused = () => undefined;

  async listen(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    return `${ip}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row with an empty part name, as operators and runners do. Returns the version of the write. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#commit([{ table, part: "", "tls-key": key, value: text }], []);
    return this.#version;
  }

  remove(table, key) {
    this.#commit([], [{ table, part: "", "tls-key": key }]);
  }

  /** Number of rows of a table. */
  count(table) {
    return [...this.#rows.values()].filter((row) => row.table === table).length;
  }

  async #serve(request, response) {
    let body = "";
    for await (const chunk of request) body += chunk;
    const url = new URL(request.url, "http://store");
    await pause(ANSWER_MS);
    if (url.pathname === "/tulipwheel/rows-tx") return this.#transact(body, response);
    if (url.pathname === "/tulipwheel/rows-get") return this.#read(url.searchParams, response);
    if (url.pathname === "/tulipwheel/rows-feed") return this.#feed(url.searchParams, response);
    this.#send(response, 404, {});
  }

  #transact(body, response) {
    const { "expected-rev": conditions = [], put: puts = [], remove: removes = [] } = JSON.parse(body);
    const entries = [...conditions, ...puts, ...removes];
    const problem = problemOf(body, entries, puts);
    if (problem) return this.#refuse(response, "rows-tx", problem);
    const holds = conditions.every((row) => (this.#rows.get(idOf(row))?.ver ?? 0) === row.ver);
    if (!holds) {
      const rows = conditions.flatMap((row) => this.#rows.get(idOf(row)) ?? []);
      return this.#send(response, 412, { ver: this.#version, now_ms: performance.now(), rows });
    }
    this.#commit(puts, removes);
    this.#send(response, 200, { ver: this.#version, now_ms: performance.now() });
  }

  #commit(puts, removes) {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part, "tls-key": key, value } of puts)
      this.#change({ table, part, "tls-key": key, value, ver });
    for (const { table, part, "tls-key": key } of removes)
      this.#change({ table, part, "tls-key": key, ver, gone: true });
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }

  #change(row) {
    if (row.gone) this.#rows.delete(idOf(row));
    else this.#rows.set(idOf(row), row);
    this.#changes.push(row);
  }

  #read(query, response) {
    const [table, part, from] = [query.get("table"), query.get("part") ?? "", query.get("from") ?? ""];
    if (Buffer.byteLength(from) > MAX_KEY_BYTES) return this.#refuse(response, "rows-get", "key too long");
    const until = query.get("target-version");
    const limit = Math.min(MAX_ROWS_READ, Number(query.get("limit") ?? MAX_ROWS_READ));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter((row) => row["tls-key"] >= from && (until === null || row["tls-key"] < until))
      .sort((left, right) => (left["tls-key"] < right["tls-key"] ? -1 : 1));
    const more = rows.length > limit;
    this.#send(response, 200, {
      rows: rows.slice(0, limit),
      more,
      ver: this.#version,
      now_ms: performance.now(),
    });
  }

  async #feed(query, response) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("wait-ms"));
    for (;;) {
      const rows = this.#changes.filter((row) => row.ver > after && row.table === table);
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0)
        return this.#send(response, 200, { rows, ver: this.#version, now_ms: performance.now() });
      await Promise.race([pause(leftMs), new Promise((wake) => this.#waiting.push(wake))]);
    }
  }

  #refuse(response, call, problem) {
    this.onRefused(call, problem);
    this.#send(response, 400, { error: problem });
  }

  #send(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
  }
}

/** Why a transaction is not one that the page allows; undefined if it is. */
function problemOf(body, entries, puts) {
  if (entries.length > MAX_ENTRIES) return `${entries.length} entries`;
  if (Buffer.byteLength(body) > MAX_TRANSACTION_BYTES) return `${Buffer.byteLength(body)} bytes`;
  if (new Set(entries.map(({ part }) => part)).size > 1) return "several parts";
  for (const { table, part, "tls-key": key } of entries)
    for (const text of [table, part, key])
      if (Buffer.byteLength(text) > MAX_KEY_BYTES) return `a text of ${Buffer.byteLength(text)} bytes`;
  for (const { value } of puts)
    if (value.length > MAX_VALUE_BYTES) return `a value of ${value.length} bytes of base64`;
  return undefined;
}

function idOf({ table, part, "tls-key": key }) {
  return JSON.stringify([table, part, key]);
}
