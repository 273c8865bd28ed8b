/** Contract tests for each interface of the platform and of back ends: the real client against the stand-in. */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import type {
  GeneratedChunk,
  GenerateRequest,
  GenerateResult,
} from "../../src/ports/engine/engine-client.ts";
import { HttpEngineClient } from "../../src/ports/engine/http-engine-client.ts";
import { HttpJsonClient, HttpPools } from "../../src/ports/http-json.ts";
import { HttpMachineList } from "../../src/ports/machine-list/http-machine-list.ts";
import { HttpObjectStore } from "../../src/ports/objects/http-object-store.ts";
import { HttpServiceClient } from "../../src/ports/service/http-service-client.ts";
import { HttpTableStore } from "../../src/ports/table/http-table-store.ts";
import { HttpWeightStore } from "../../src/ports/weights/http-weight-store.ts";
import { CancellationSource } from "../../src/runtime/cancellation.ts";
import { loadTextHash } from "../../src/runtime/text-hash.ts";
import { EngineStandin } from "../../standins/http/engine-standin.ts";
import {
  machineListStandin,
  objectStandin,
  serviceStandin,
  tableStandin,
  weightStandin,
} from "../../standins/http/platform-standins.ts";
import { ServiceModel } from "../../standins/service/service-model.ts";

const ANY_PORT = "127.0.0.1:0";
const TIMEOUT_MS = 300;

describe("table", () => {
  const standin = tableStandin();
  const pools = new HttpPools();
  let table: HttpTableStore;
  before(async () => {
    table = new HttpTableStore(
      new HttpJsonClient(pools, { timeoutMs: TIMEOUT_MS }),
      await standin.listen(ANY_PORT),
    );
  });
  after(async () => {
    await pools.close();
    await standin.close();
  });

  it("applies all writes of a transaction, or none", async () => {
    const writes = [
      { key: "a", value: "1" },
      { key: "b", value: "1" },
    ];
    expect(await table.transact({ conditions: [{ key: "a", version: 0 }], writes })).toEqual({
      type: "committed",
    });
    const again = await table.transact({
      conditions: [{ key: "a", version: 0 }],
      writes: [{ key: "b", value: "2" }],
    });
    expect(again).toEqual({ type: "conflict", rows: [{ key: "a", version: 1, value: "1" }] });
    expect((await table.get("b")).value).toEqual("1");
  });

  it("lists rows in key order, in pages", async () => {
    const writes = ["p/1", "p/2", "p/3"].map((key) => ({ key, value: key }));
    await table.transact({ conditions: [], writes });
    const first = await table.list("p/", "", 2);
    const second = await table.list("p/", "p/2", 2);
    expect([...first, ...second].map((row) => row.key)).toEqual(["p/1", "p/2", "p/3"]);
  });

  it("removes rows and gives a row that is written again a new version", async () => {
    await table.transact({ conditions: [], writes: [{ key: "r", value: "1" }] });
    await table.transact({ conditions: [], writes: [{ key: "r", value: undefined }] });
    expect(await table.get("r")).toEqual({ key: "r", version: 0, value: "" });
    await table.transact({ conditions: [{ key: "r", version: 0 }], writes: [{ key: "r", value: "2" }] });
    expect((await table.get("r")).version).toEqual(3);
  });

  const FAULTS: [string, Partial<typeof standin.faults>, boolean][] = [
    ["an outage", { outage: true }, false],
    ["a response lost after the write", { loseWriteAnswers: true }, true],
    ["a response that arrives after the timeout", { delayMs: TIMEOUT_MS * 2 }, true],
    ["a rate limit", { requestsPerSecond: 0.5 }, false],
  ];
  for (const [name, faults, written] of FAULTS) {
    it(`reports an unknown outcome after ${name}`, async () => {
      const calm = { ...standin.faults };
      Object.assign(standin.faults, faults);
      const writes = [{ key: `fault ${name}`, value: "x" }];
      await expect(table.transact({ conditions: [], writes })).toBeRejectedWith("Ask again");
      Object.assign(standin.faults, calm);
      await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS * 2));
      expect((await table.get(`fault ${name}`)).version > 0).toEqual(written);
    });
  }
});

describe("object store", () => {
  const standin = objectStandin();
  const pools = new HttpPools();
  let objects: HttpObjectStore;
  before(async () => {
    objects = new HttpObjectStore(pools, await standin.listen(ANY_PORT));
  });
  after(async () => {
    await pools.close();
    await standin.close();
  });

  it("stores binary objects and never overwrites one", async () => {
    const bytes = Uint8Array.from([0, 255, 10, 13]);
    await objects.put("segment/1", bytes);
    await objects.put("segment/1", bytes);
    expect(await objects.get("segment/1")).toEqual(bytes);
    await expect(objects.put("segment/1", Uint8Array.from([1]))).toBeRejectedWith("409");
    expect(await objects.get("none")).toEqual(undefined);
  });

  it("lists keys by prefix in order, and removes objects", async () => {
    await objects.put("list/b", Uint8Array.from([1]));
    await objects.put("list/a", Uint8Array.from([1]));
    expect(await objects.list("list/")).toEqual(["list/a", "list/b"]);
    await objects.remove("list/a");
    expect(await objects.list("list/")).toEqual(["list/b"]);
  });
});

describe("machine list", () => {
  const { standin } = machineListStandin({ lagMs: 50, expiryMs: 150 });
  const pools = new HttpPools();
  let list: HttpMachineList;
  before(async () => {
    list = new HttpMachineList(new HttpJsonClient(pools), await standin.listen(ANY_PORT));
  });
  after(async () => {
    await pools.close();
    await standin.close();
  });

  it("shows a report after a delay and removes nodes that stop reporting", async () => {
    const base = {
      pool: "",
      zone: "z",
      address: "10.0.0.1:1",
      incarnation: "i",
      models: [],
      slots: 0,
      kvTokens: 0,
    };
    await list.report({ ...base, name: "n", kind: "node", state: "live" });
    expect(await list.read()).toEqual([]);
    await new Promise((resolve) => setTimeout(resolve, 80));
    expect((await list.read()).map((machine) => machine.name)).toEqual(["n"]);
    await new Promise((resolve) => setTimeout(resolve, 300));
    await list.read();
    await new Promise((resolve) => setTimeout(resolve, 80));
    expect(await list.read()).toEqual([]);
  });
});

describe("weight store", () => {
  const weights = [{ model: "agent-llm", version: "3", bytes: 140_000_000_000 }];
  const standin = weightStandin(weights);
  const pools = new HttpPools();
  let store: HttpWeightStore;
  before(async () => {
    store = new HttpWeightStore(new HttpJsonClient(pools), await standin.listen(ANY_PORT));
  });
  after(async () => {
    await pools.close();
    await standin.close();
  });

  it("lists the weights that can be loaded, and enforces its rate limit", async () => {
    expect(await store.list()).toEqual(weights);
    standin.faults.requestsPerSecond = 0.5;
    await expect(store.list()).toBeRejectedWith("429");
    standin.faults.requestsPerSecond = 0;
  });
});

describe("service", () => {
  const model = new ServiceModel();
  const standin = serviceStandin(model);
  const pools = new HttpPools();
  const client = new HttpServiceClient(pools);
  let address: string;
  before(async () => {
    address = await standin.listen(ANY_PORT);
  });
  after(async () => {
    await pools.close();
    await standin.close();
  });

  const request = (body: string) => ({
    type: "service" as const,
    service: "pay-api",
    method: "POST",
    path: "/deposits",
    contentType: "text/plain",
    body,
    idempotencyKey: "key-1",
    neverRepeat: false,
  });

  it("receives a request once, with its identifiers", async () => {
    const result = await client.send(address, request("one"), "call-1", 1_000);
    expect(result.type).toEqual("answered");
    expect(model.ledger.filter((call) => call.body === "one")).toEqual([
      { method: "POST", path: "/deposits", body: "one", callId: "call-1", idempotencyKey: "key-1" },
    ]);
  });

  it("is reported as not reached only if no connection was established", async () => {
    expect((await client.send("127.0.0.1:1", request("two"), "call-2", 1_000)).type).toEqual("not-sent");
    standin.faults.loseWriteAnswers = true;
    expect((await client.send(address, request("three"), "call-3", 1_000)).type).toEqual("unknown");
    standin.faults.loseWriteAnswers = false;
    standin.faults.delayMs = 400;
    expect((await client.send(address, request("four"), "call-4", 100)).type).toEqual("unknown");
    standin.faults.delayMs = 0;
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(model.ledger.filter((call) => call.body === "three" || call.body === "four").length).toEqual(2);
  });
});

/** Resolves when the engine runs `count` requests. Under load they may arrive later than after any fixed delay. */
async function untilRunning({ model }: EngineStandin, count = 1): Promise<void> {
  while (model.runningCount < count) await new Promise((resolve) => setTimeout(resolve, 1));
}

describe("engine", () => {
  const pools = new HttpPools();
  const client = new HttpEngineClient(pools, new HttpJsonClient(pools));
  let engine: EngineStandin;
  let address: string;
  before(async () => {
    const options = {
      name: "e",
      models: ["m"],
      slots: 2,
      stepMs: 2,
      loadLagMs: 40,
      eventDelayMs: 30,
      eventLoss: 0,
      maxWaiting: 1,
    };
    engine = new EngineStandin(options, await loadTextHash());
    address = await engine.listen(ANY_PORT);
  });
  after(async () => {
    await pools.close();
    await engine.close();
  });

  let nextRequest = 0;
  const requestOf = (changes: Partial<GenerateRequest> = {}): GenerateRequest => {
    nextRequest += 1;
    return {
      requestId: `r${nextRequest}`,
      program: "prog-a",
      model: "m",
      messages: [{ role: "user", content: "hello #tokens=20" }],
      maxTokens: 50,
      priority: 1,
      fencingToken: 1,
      resumeText: "",
      ...changes,
    };
  };
  const generate = async (request: GenerateRequest, cancellation = new CancellationSource()) => {
    const chunks: GeneratedChunk[] = [];
    const result = await client.generate(address, request, (chunk) => chunks.push(chunk), cancellation);
    return { result, chunks, text: chunks.map((chunk) => chunk.text).join("") };
  };

  it("streams chunks in order and ends with the usage and the total length", async () => {
    const { result, chunks, text } = await generate(requestOf());
    const usage = { promptTokens: 4, completionTokens: 20, cachedTokens: 0 };
    expect(result).toEqual({ type: "completed", finishReason: "stop", usage, length: text.length });
    expect(chunks.map((chunk) => chunk.offset)).toEqual(chunks.map((_, index) => index * 4));
  });

  it("resumes after a given text as if it had not stopped", async () => {
    const whole = await generate(requestOf());
    const resumed = await generate(requestOf({ resumeText: whole.text.slice(0, 32) }));
    expect(whole.text.slice(0, 32) + resumed.text).toEqual(whole.text);
    expect((resumed.result as Extract<GenerateResult, { type: "completed" }>).length).toEqual(
      whole.text.length,
    );
  });

  it("finds a processed prompt in its cache until it is ordered to release it", async () => {
    const messages = [{ role: "user", content: "a prefix of some length #tokens=3" }];
    await generate(requestOf({ messages, program: "prog-b" }));
    const second = await generate(requestOf({ messages, program: "prog-b" }));
    const usage = (second.result as Extract<GenerateResult, { type: "completed" }>).usage;
    expect(usage.cachedTokens).toEqual(usage.promptTokens);
    expect((await client.holds(address)).some((hold) => hold.program === "prog-b")).toEqual(true);
    expect(await client.order(address, { type: "release", program: "prog-b" }, 1)).toEqual(true);
    expect((await client.holds(address)).some((hold) => hold.program === "prog-b")).toEqual(false);
  });

  it("publishes cache events with a delay, in order of their numbers", async () => {
    await generate(requestOf({ program: "prog-events" }));
    const early = await client.cacheEvents(address, 0);
    await new Promise((resolve) => setTimeout(resolve, 60));
    const late = await client.cacheEvents(address, 0);
    expect(late.length > early.length).toEqual(true);
    const numbers = late.map((event) => event.number);
    expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
  });

  it("holds a program's cache after importing it", async () => {
    await generate(requestOf({ program: "prog-moved" }));
    const cache = await client.exportCache(address, "prog-moved");
    await client.order(address, { type: "release", program: "prog-moved" }, 1);
    expect(await client.importCache(address, "prog-moved", cache ?? new Uint8Array(), 1)).toEqual(true);
    expect((await client.holds(address)).some((hold) => hold.program === "prog-moved")).toEqual(true);
  });

  it("cancels a request and removes it", async () => {
    const cancellation = new CancellationSource();
    const running = generate(
      requestOf({ messages: [{ role: "user", content: "#tokens=50" }] }),
      cancellation,
    );
    await new Promise((resolve) => setTimeout(resolve, 20));
    cancellation.cancel();
    expect((await running).result).toEqual({ type: "cancelled" });
    await new Promise((resolve) => setTimeout(resolve, 80));
    expect((await client.load(address)).running).toEqual([]);
  });

  it("queues a request when its batch is full, and refuses one when its queue is full too", async () => {
    const long = () => generate(requestOf({ messages: [{ role: "user", content: "#tokens=30" }] }));
    const first = [long(), long()];
    await untilRunning(engine, first.length);
    const order: string[] = [];
    const note = (name: string) => () => order.push(name);
    const lazy = generate(requestOf({ priority: 3 })).then(note("lazy"));
    const refused = await generate(requestOf({ priority: 0 }));
    await Promise.all([...first, lazy]);
    expect(refused.result).toEqual({ type: "refused", reason: "full" });
    expect(order).toEqual(["lazy"]);
  });

  const REFUSALS: [string, () => GenerateRequest, GenerateResult][] = [
    [
      "an unknown model",
      () => requestOf({ model: "other", fencingToken: 5 }),
      { type: "refused", reason: "unknown-model" },
    ],
    [
      "a fencing token older than the newest one seen",
      () => requestOf({ fencingToken: 0 }),
      { type: "refused", reason: "stale-token" },
    ],
  ];
  for (const [name, request, expected] of REFUSALS) {
    it(`refuses ${name}`, async () => {
      expect((await generate(request())).result).toEqual(expected);
    });
  }

  it("refuses orders with a stale fencing token and executes newer ones", async () => {
    expect(await client.order(address, { type: "load", model: "n", version: "1" }, 7)).toEqual(true);
    expect(await client.order(address, { type: "unload", model: "m" }, 6)).toEqual(false);
    expect((await generate(requestOf({ model: "n", fencingToken: 7 }))).result.type).toEqual("completed");
    expect(await client.order(address, { type: "role", role: "prefill" }, 7)).toEqual(true);
    expect(engine.model.role).toEqual("prefill");
  });

  it("refuses new requests while it is leaving, and finishes running ones", async () => {
    const running = generate(requestOf({ fencingToken: 8 }));
    await untilRunning(engine);
    engine.model.setLeaving(true);
    expect((await generate(requestOf({ fencingToken: 8 }))).result).toEqual({
      type: "refused",
      reason: "leaving",
    });
    expect((await running).result.type).toEqual("completed");
    expect((await client.load(address)).leaving).toEqual(true);
    engine.model.setLeaving(false);
  });

  it("reports a broken stream, not a completed one, when the engine stops midway", async () => {
    const running = generate(
      requestOf({ fencingToken: 8, messages: [{ role: "user", content: "#tokens=50" }] }),
    );
    await untilRunning(engine);
    await engine.close();
    expect((await running).result.type).toEqual("broken");
  });
});
