/** What a gateway finds out about a stream that it did not begin, in virtual time. */
import { before, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { GatewayWorld } from "../../bench/simulation/gateways/gateway-world.ts";
import {
  RUNNER_TABLE,
  type SimulatedGateway,
  STREAM_LIFETIME_MS,
} from "../../bench/simulation/gateways/simulated-gateway.ts";
import type { OriginVerdict } from "../../src/gateway/streams/origin-verdict.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import type { RequestId } from "../../src/scheduling/ids/request-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../src/scheduling/ids/software-version.ts";
import { type StreamOrigin, streamKeyOf } from "../../src/scheduling/stream-versions/index.ts";
import { runnerEntry } from "../contract/support/runner-entry.ts";

const POOL = "p";
const KEY = streamKeyOf(undefined, "request" as RequestId);
const RUNNER = "r1" as RunnerName;
const [V1, V2] = ["v1", "v2"] as [SoftwareVersion, SoftwareVersion];
const ORIGIN: StreamOrigin = { pool: POOL, version: V1, runner: RUNNER };
/** Longer than any question, in ms. */
const ANSWER_MS = 1_000;
/** Time after which a caller comes to another gateway, in ms. */
const RETRY_MS = 20;
/** Longer than the time between two reads of the list, in ms. */
const READ_MS = 1_500;

describe("origins of streams", () => {
  let hash: TextHash;
  let world: GatewayWorld;
  before(async () => {
    hash = await loadTextHash();
  });
  beforeEach(async () => {
    world = new GatewayWorld(1, hash);
    list("r1", V1);
    list("r2", V1);
    await run(STREAM_LIFETIME_MS + 4_000);
  });

  function list(name: string, version: SoftwareVersion): void {
    const value = Buffer.from(JSON.stringify(runnerEntry(name, { version }))).toString("base64");
    const row = { table: RUNNER_TABLE, part: "", key: name, value };
    world.store.model.transact({ conditions: [], puts: [row], removes: [] });
  }

  const run = (forMs: number) => world.time.runUntil(world.time.nowMs + forMs);
  const gateway = (index: number) => world.gateways[index] as SimulatedGateway;

  async function find(index: number, key: typeof KEY | undefined = KEY): Promise<OriginVerdict | undefined> {
    let verdict: OriginVerdict | undefined;
    void gateway(index)
      .streams.find(key, POOL)
      .then((found) => {
        verdict = found;
      });
    await run(ANSWER_MS);
    return verdict;
  }

  it("follow from the list while there is one version, without a record", async () => {
    gateway(0).streams.recordBegin(KEY, ORIGIN);
    gateway(0).process.kill();
    expect(await find(1)).toEqual({ type: "version", version: V1 });
    expect(await find(2, undefined)).toEqual({ type: "version", version: V1 });
  });

  it("are told to others before the gateway dies, once another version is listed", async () => {
    gateway(0).streams.recordBegin(KEY, ORIGIN);
    list("r3", V2);
    await run(READ_MS);
    gateway(0).process.kill();
    for (const index of [1, 2, 3, 4]) {
      const verdict = await find(index);
      expect(verdict?.type === "origin" ? verdict.origin : verdict).toEqual(ORIGIN);
    }
  });

  it("are told to others with the first event while there are several versions", async () => {
    list("r3", V2);
    await run(READ_MS);
    gateway(0).streams.recordBegin(KEY, ORIGIN);
    gateway(0).process.kill();
    await run(RETRY_MS);
    expect((await find(1))?.type).toEqual("origin");
  });

  it("are unknown when another version is listed that this gateway has not read of yet", async () => {
    list("r3", V2);
    expect((await find(1))?.type).toEqual("unknown");
  });

  it("are unknown for as long as streams last after another version has gone", async () => {
    list("r3", V2);
    await run(READ_MS);
    world.store.model.transact({
      conditions: [],
      puts: [],
      removes: [{ table: RUNNER_TABLE, part: "", key: "r3" }],
    });
    await run(READ_MS);
    expect((await find(1))?.type).toEqual("unknown");
    await run(STREAM_LIFETIME_MS + 3 * READ_MS);
    expect(await find(1)).toEqual({ type: "version", version: V1 });
  });

  it("are unknown at a gateway that reaches neither the store nor others", async () => {
    gateway(1).store.path = "cut";
    world.network.cut("gateway-1", "*");
    expect((await find(1))?.type).toEqual("unknown");
  });

  it("are known to a gateway that has just started, by what others have read before", async () => {
    gateway(1).process.kill();
    await run(READ_MS);
    world.start(1);
    await run(READ_MS);
    expect(await find(1)).toEqual({ type: "version", version: V1 });
    expect(await find(1, undefined)).toEqual({ type: "version", version: V1 });
  });

  it("are unknown when all gateways have just started", async () => {
    for (const index of world.gateways.keys()) gateway(index).process.kill();
    for (const index of world.gateways.keys()) world.start(index);
    await run(2 * READ_MS);
    expect((await find(1))?.type).toEqual("unknown");
  });

  it("are unknown when the runner has started again with another version", async () => {
    list("r3", V2);
    await run(READ_MS);
    gateway(0).streams.recordBegin(KEY, ORIGIN);
    expect((await find(1))?.type).toEqual("origin");
    list(RUNNER, V2);
    expect((await find(1))?.type).toEqual("unknown");
  });
});
