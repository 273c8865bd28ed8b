/**
 * Corrupt rows in the gateways' own tables: they name no owner or gateway, no tokens are granted from them, and a
 * corrupt configuration does not come into force.
 */

import { afterEach, describe, it } from "node:test";
import { encode } from "cbor-x";
import { expect } from "earl";
import fc from "fast-check";
import { RoutingWatch } from "../../src/gateway/configuration/routing-watch.ts";
import type { GatewayRpcSchema } from "../../src/gateway/gateway-messages.ts";
import type { MemberDirectory } from "../../src/gateway/members/member-directory.ts";
import { MemberRegistry } from "../../src/gateway/members/member-registry.ts";
import { PartitionHost } from "../../src/gateway/partitions/partition-host.ts";
import {
  accountKey,
  decodeAccount,
  decodeOwner,
  encodeAccount,
  ownerKey,
} from "../../src/gateway/partitions/partition-rows.ts";
import { decodeTurn } from "../../src/gateway/partitions/turn-rows.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import type { RowKey } from "../../src/ports/store/row-store.ts";
import { delay } from "../../src/runtime/clock.ts";
import type { RpcEndpoint } from "../../src/runtime/rpc.ts";
import type { ProgramId } from "../../src/scheduling/ids/program-id.ts";
import type { RequestId } from "../../src/scheduling/ids/request-id.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { gatewayContext } from "./support/gateway-parts.ts";

const OWNER = { instance: "a#1", commit: 3, rates: { tokens: [["tenant", 2.5]], filledForMs: 4 } } as const;
const ACCOUNT = { settled: 40, ahead: 20, open: [["turn", 10]] } as const;
const TURN = "turn" as RequestId;
const CONTENT = { previousTurn: undefined, input: Buffer.from("in"), output: Buffer.from("out"), tokens: 3 };
/** How long API keys are trusted after the configuration was confirmed as the newest, in ms. */
const TRUST_MS = 1_500;
const [CORRUPT, VALID] = ["corrupt", "valid"] as [ProgramId, ProgramId];

/** Decodes a turn whose only row has this value. */
const decodeTurnRow = (value: Uint8Array) =>
  decodeTurn(TURN, [{ table: "turns", part: "t0", key: TURN, value: Buffer.from(value), version: 1 }]);

/** For each kind of row: a valid value, its decoder, and the decoder's result for a corrupt row. */
const ROWS: [what: string, whole: object, read: (value: Buffer) => unknown, unreadable: unknown][] = [
  ["owner", OWNER, decodeOwner, undefined],
  ["account", ACCOUNT, decodeAccount, undefined],
  ["turn", CONTENT, decodeTurnRow, "unreadable"],
];

describe("corrupt rows of gateways", () => {
  for (const [what, whole, read, unreadable] of ROWS) {
    it(`are rejected as ${what} rows whatever their bytes, and a valid one is accepted`, () => {
      const bytes = encode(whole);
      expect(read(bytes) as object).toLooseEqual(whole);
      const cut = fc.nat(bytes.length - 1).map((length) => bytes.subarray(0, length));
      const other = fc.uint8Array().map((some) => Buffer.from(some));
      const value = fc.jsonValue().map((json) => encode(json));
      fc.assert(fc.property(fc.oneof(cut, other, value), (some) => expect(read(some)).toEqual(unreadable)));
    });

    it(`are rejected as ${what} rows if a field has the wrong type`, () => {
      const field = fc.constantFrom(...Object.keys(whole));
      const wrong = fc.constantFrom<unknown>(null, true, {}, [[1]], [["name"]], [["name", "1"]], Number.NaN);
      fc.assert(
        fc.property(field, wrong, (name, value) => {
          expect(read(encode({ ...whole, [name]: value }))).toEqual(unreadable);
        }),
      );
    });
  }

  const standin = new RowStoreStandin();
  afterEach(() => standin.close());
  async function start() {
    const context = await gatewayContext("first", await standin.listen());
    const put = (key: RowKey, value: Buffer) =>
      context.platform.store.transact({ conditions: [], puts: [{ ...key, value }], removes: [] });
    return { context, put };
  }
  const members = {
    ownerCandidates: () => [{ name: "first", hash: 1 }],
    hasSettled: true,
    hearsMost: true,
    mayOwn: () => false,
    liveAddresses: () => [],
    tick: () => undefined,
  };

  it("count as rows of an owner that may be alive, and grant nothing from an account", async () => {
    const { context, put } = await start();
    const partition = 0;
    await put(ownerKey(partition), Buffer.from([0xff]));
    await put(accountKey(partition, CORRUPT), Buffer.from([0x01]));
    await put(accountKey(partition, VALID), encodeAccount(ACCOUNT));
    type Admit = (request: object) => Promise<GatewayRpcSchema["admitTurn"]["response"]>;
    const handlers = new Map<string, Admit>();
    const rpc = { handle: (name: string, handler: Admit) => handlers.set(name, handler) };
    const host = new PartitionHost(
      context,
      members as unknown as MemberDirectory,
      new StoreHealth(context),
      rpc as unknown as RpcEndpoint<GatewayRpcSchema>,
    );
    host.start();
    while (host.owned.length < context.settings.partitions) await delay(context.clock, 20);
    expect(host.ownership(partition)?.isReleased).toEqual(false);
    expect(host.ownership(partition)?.unreleasedOwner !== undefined).toEqual(true);
    const admit = (program: ProgramId, tokens: number) =>
      handlers.get("admitTurn")?.({ partition, program, turn: `of-${program}`, budget: { tokens, most: 5 } });
    expect((await admit(CORRUPT, 1_000_000))?.type).toEqual("unavailable");
    expect((await admit(VALID, 74))?.type).toEqual("exhausted");
    expect((await admit(VALID, 1_000))?.type).toEqual("granted");
    await host.release();
  });

  it("neither hide other gateways nor stop discovery", async () => {
    const { context, put } = await start();
    const key = (name: string) => ({ table: "gateways", part: "", key: name });
    const writtenWallMs = context.clock.wallMs();
    await put(key("a"), Buffer.from([0xff]));
    await put(key("b"), encode({ address: "10.0.0.1:70000", writtenWallMs }));
    await put(key("c"), encode({ address: "10.0.0.1:7000", writtenWallMs }));
    const known = new Set<string>();
    const directory = {
      looksForOthers: true,
      addKnownAddresses: (all: string[]) => {
        for (const address of all) known.add(address);
      },
    };
    const registry = new MemberRegistry(context, directory as unknown as MemberDirectory, "10.0.0.2:7000");
    registry.start();
    while (known.size === 0) await delay(context.clock, 20);
    expect([...known].filter((address) => address !== "10.0.0.2:7000")).toEqual(["10.0.0.1:7000"]);
    registry.stop();
  });

  it("leave the previous configuration in force and keys untrusted", async () => {
    const { context, put } = await start();
    const settings = { ...context.settings, keys: { revokeMs: TRUST_MS + 1_000 } };
    const watch = new RoutingWatch({ ...context, settings }, new StoreHealth(context));
    const trusts = () => watch.canTrustKeys;
    const configuration = { version: 1, routes: [], services: [], limits: {} };
    const versions: number[] = [];
    watch.onChanged = ({ configuration: { version } }) => void versions.push(version);
    const key = { table: "op", part: "", key: "config" };
    const write = (value: string) => put(key, Buffer.from(value));
    await write(JSON.stringify(configuration));
    watch.start();
    while (!trusts()) await delay(context.clock, 20);
    await write("{");
    await delay(context.clock, 1.2 * TRUST_MS);
    expect(watch.routes?.configuration.version).toEqual(1);
    expect(trusts()).toEqual(false);
    await write(JSON.stringify({ ...configuration, version: 2 }));
    while (!trusts()) await delay(context.clock, 20);
    expect(versions).toEqual([1, 2]);
    watch.stop();
  });
});
