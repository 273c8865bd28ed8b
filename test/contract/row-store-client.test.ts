/** Tests the adapter's client of the platform's store against the stand-in with each of its faults. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { HttpRowStore } from "../../platform/http-row-store.ts";
import { RowStoreStandin, type StoreFault } from "../../standins/platform/row-store-standin.ts";
import { storeClient } from "./support/gateway-parts.ts";

const ROW = { table: "t", part: "p", key: "k" };
const VALUE = Buffer.from([0, 255, 10]);

let standin: RowStoreStandin;
let store: HttpRowStore;

function put(version: number) {
  const conditions = [{ ...ROW, version }];
  return store.transact({ conditions, puts: [{ ...ROW, value: VALUE }], removes: [] });
}

describe("row store client", () => {
  beforeEach(async () => {
    standin = new RowStoreStandin();
    store = storeClient(await standin.listen());
  });
  afterEach(() => standin.close());

  it("writes under a condition and reads what was written", async () => {
    expect((await put(0)).type).toEqual("committed");
    const read = await store.read({ table: "t", part: "p", from: "k", until: "k\u0000" });
    expect(read.type === "rows" && read.rows).toEqual([{ ...ROW, value: VALUE, version: 1 }]);
  });

  it("returns the rows of a failed condition", async () => {
    await put(0);
    const outcome = await put(0);
    expect(outcome.type === "conflict" && outcome.rows).toEqual([{ ...ROW, value: VALUE, version: 1 }]);
  });

  it("reports changes as soon as there are some, including removed rows", async () => {
    const watch = store.watch("t", 0, 5_000);
    await put(0);
    const first = await watch;
    expect(first.type === "changes" && first.changes.map((change) => change.value)).toEqual([VALUE]);
    await store.transact({ conditions: [], puts: [], removes: [ROW] });
    const second = await store.watch("t", 1, 5_000);
    expect(second.type === "changes" && second.changes.map((change) => change.value)).toEqual([undefined]);
  });

  it("reports that the history is gone", async () => {
    await put(0);
    standin.model.compact();
    expect((await store.watch("t", 0, 50)).type).toEqual("historyGone");
  });

  const FAULTS: [StoreFault, "refused" | "unknown", done: boolean][] = [
    ["busy", "refused", false],
    ["throttled", "refused", false],
    ["silent", "unknown", false],
    ["reset", "unknown", false],
    ["lostAnswer", "unknown", true],
    ["lateWrite", "unknown", false],
  ];
  for (const [fault, type, done] of FAULTS) {
    it(`reports a write as ${type} if the store's fault is ${fault}`, async () => {
      standin.fault = fault;
      standin.lateWriteMs = 300;
      expect((await put(0)).type).toEqual(type);
      expect(standin.model.version).toEqual(done ? 1 : 0);
    });
  }

  const MALFORMED_ANSWERS = ["", "{", "null", "[]", '{"ver":"1"}'];
  for (const body of MALFORMED_ANSWERS) {
    it(`reports the outcome as unknown if the answer is ${JSON.stringify(body)}`, async () => {
      const server = createServer((_request, response) => response.end(body));
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      store = storeClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
      expect((await put(0)).type).toEqual("unknown");
      expect((await store.read({ table: "t", part: "p" })).type).toEqual("unknown");
      expect((await store.watch("t", 0, 10)).type).toEqual("unknown");
      server.close();
      server.closeAllConnections();
    });
  }

  it("returns a row without bytes if its value is not a string", async () => {
    const answer = { ver: 1, rows: [{ table: "t", part: "p", "tls-key": "k", value: 5, ver: 1 }] };
    const server = createServer((_request, response) => response.end(JSON.stringify(answer)));
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    store = storeClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const read = await store.read({ table: "t", part: "p" });
    expect(read.type === "rows" && read.rows).toEqual([{ ...ROW, value: Buffer.alloc(0), version: 1 }]);
    server.close();
    server.closeAllConnections();
  });

  it("reports calls as refused if the store does not listen", async () => {
    standin.close();
    expect((await put(0)).type).toEqual("refused");
    expect((await store.read({ table: "t", part: "p" })).type).toEqual("refused");
    expect((await store.watch("t", 0, 10)).type).toEqual("refused");
  });
});
