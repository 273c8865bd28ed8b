/** Tests the store stand-in while some of its parts do not respond. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { request } from "undici";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";

const TIMEOUT_MS = 200;

describe("unresponsive store parts", () => {
  let store: RowStoreStandin;
  let address: string;

  beforeEach(async () => {
    store = new RowStoreStandin();
    address = await store.listen();
    store.partFaults.set("a", "silent");
  });
  afterEach(() => store.close());

  async function statusOf(path: string, body?: object): Promise<number> {
    try {
      const answer = await request(`http://${address}/tulipwheel/${path}`, {
        method: body ? "POST" : "GET",
        body: body ? JSON.stringify(body) : null,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      return 0;
    }
  }

  function write(part: string): Promise<number> {
    return statusOf("rows-tx", { put: [{ table: "t", part, "tls-key": "k", value: "" }] });
  }

  it("applies no write to an unresponsive part, but those to others", async () => {
    expect(await write("a")).toEqual(0);
    expect(await write("b")).toEqual(200);
    expect(store.model.parts()).toEqual(["b"]);
  });

  it("answers no read of an unresponsive part, but those of others", async () => {
    expect(await statusOf("rows-get?table=t&part=a")).toEqual(0);
    expect(await statusOf("rows-get?table=t&part=b")).toEqual(200);
  });

  it("serves a part once it responds again", async () => {
    store.partFaults.clear();
    expect(await write("a")).toEqual(200);
    expect(store.model.parts()).toEqual(["a"]);
  });
});
