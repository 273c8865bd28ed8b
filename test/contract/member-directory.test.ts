/** How gateways find each other and notice who is gone, directly and through relays, on virtual time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { pino } from "pino";
import { SimulatedNetwork } from "../../bench/simulation/simulated-network.ts";
import { SimulatedProcess, VirtualTime } from "../../bench/simulation/virtual-time.ts";
import type { GatewayContext, GatewayPlatform } from "../../src/gateway/gateway-context.ts";
import type { GatewayMessage } from "../../src/gateway/gateway-messages.ts";
import { gatewaySettingsSchema } from "../../src/gateway/gateway-settings.ts";
import { MemberDirectory } from "../../src/gateway/members/member-directory.ts";
import { StoreHealth } from "../../src/gateway/store-health.ts";
import { NoMetrics } from "../../src/gateway/telemetry/no-metrics.ts";
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import { RunnerBoard } from "../../src/scheduling/runner-board/runner-board.ts";

const ZONES = 4;
const SETTLE_MS = 6_000;
/** Longest time until all know of a loss that nobody announced. */
const DETECTION_MS = 3_000;
const FORGET_MS = 60_000;

interface TestMember {
  readonly name: string;
  readonly process: SimulatedProcess;
  readonly directory: MemberDirectory;
  readonly board: RunnerBoard;
}

class Fleet {
  readonly time = new VirtualTime();
  readonly network = new SimulatedNetwork<GatewayMessage>(this.time, new SeededRandomSource(1));
  readonly members: TestMember[] = [];
  readonly #hash: TextHash;
  readonly #directMost: number;
  #starts = 0;
  messages = 0;

  constructor(hash: TextHash, count: number, directMost: number) {
    this.#hash = hash;
    this.#directMost = directMost;
    this.network.refusesForDead = true;
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  start(index: number): void {
    this.#starts += 1;
    const name = `gateway-${index}`;
    const zone = `zone-${index % ZONES}`;
    const process = new SimulatedProcess(name, zone, this.time);
    const peers = addressOf(index);
    const settings = gatewaySettingsSchema.parse({
      name,
      region: "region",
      zone,
      listen: { callers: peers, readiness: peers, directory: peers, peers },
      seeds: [0, 1, 2].map(addressOf),
      store: peers,
      membership: { directMost: this.#directMost },
    });
    const instance = `${name}#${this.#starts}`;
    const context: GatewayContext = {
      settings,
      instance,
      clock: process,
      random: new SeededRandomSource(index),
      hash: this.#hash,
      log: pino({ level: "silent" }),
      metrics: new NoMetrics(),
      platform: {} as GatewayPlatform,
    };
    const transport = this.network.attach(process, { instance, address: peers });
    const directory = new MemberDirectory(context, transport, new StoreHealth(context));
    const board = new RunnerBoard();
    for (const id of ["r1", "r2"])
      board.upsert({ id, pool: "p", address: "a", zone, slots: 8, state: "ready" });
    directory.selfReport = () => ({
      state: "ready",
      owned: [],
      runners: board.ownReport(process.monotonicMs()),
    });
    directory.onLoads = (source, report) => board.report(source, report, process.monotonicMs());
    directory.sumLoads = (sources) => board.sumReports(sources);
    directory.onLost = (member) => board.dropReport(member.instance);
    transport.onDisconnected((address, refused) => directory.onDisconnected(address, refused));
    transport.onMessage((message, from) => {
      this.messages += 1;
      if (message.type === "heartbeat") directory.onHeartbeat(message, from);
      if (message.type === "memberDigest") directory.onDigest(message, from);
    });
    this.members[index] = { name, process, directory, board };
    directory.start();
  }

  /** How many gateways each live gateway's directory names: the least and the most. */
  named(): [least: number, most: number] {
    const counts = this.alive().map(({ directory }) => directory.callerAddresses(undefined).length);
    return [Math.min(...counts), Math.max(...counts)];
  }

  alive(): TestMember[] {
    return this.members.filter(({ process }) => process.alive && !process.frozen);
  }
}

function addressOf(index: number): string {
  return `10.0.0.${index + 1}:7000`;
}

const SIZES: [name: string, count: number, directMost: number][] = [
  ["directly", 6, 24],
  ["through relays", 24, 8],
  ["through relays in a large fleet", 48, 24],
];

describe("member directory", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  for (const [name, count, directMost] of SIZES) {
    it(`names all gateways, and keeps naming them, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      for (let atMs = SETTLE_MS; atMs < 4 * SETTLE_MS; atMs += 250) {
        await fleet.time.runUntil(atMs);
        expect(fleet.named()).toEqual([count, count]);
      }
    });

    it(`drops gateways that die, wherever they stand, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (let gone = 0; gone < Math.min(count - 2, 8); gone += 1) {
        fleet.members[gone]?.process.kill();
        await fleet.time.runUntil(fleet.time.nowMs + DETECTION_MS);
        expect(fleet.named()).toEqual([count - gone - 1, count - gone - 1]);
      }
    });

    it(`drops a whole zone that falls silent, and takes it back, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      const zone = fleet.members.filter((_, index) => index % ZONES === 0);
      for (const { process } of zone) process.freeze();
      await fleet.time.runUntil(fleet.time.nowMs + DETECTION_MS);
      expect(fleet.named()).toEqual([count - zone.length, count - zone.length]);
      for (const { process } of zone) process.wake();
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`knows all again after all were killed at once, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (const { process } of fleet.members) process.kill();
      await fleet.time.runUntil(fleet.time.nowMs + 1_000);
      for (let index = 0; index < count; index += 1) fleet.start(index);
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`goes on while messages are lost, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      fleet.network.conditions.loss = 0.1;
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      fleet.network.conditions.loss = 0;
      await fleet.time.runUntil(fleet.time.nowMs + SETTLE_MS);
      expect(fleet.named()).toEqual([count, count]);
    });

    it(`tells everybody once of the requests of all, ${name}`, async () => {
      const fleet = new Fleet(hash, count, directMost);
      await fleet.time.runUntil(SETTLE_MS);
      for (const { board, process } of fleet.members) board.started("r1", process.monotonicMs(), 60_000);
      await fleet.time.runUntil(fleet.time.nowMs + 2_500);
      const loads = fleet.members.map(({ board }) => board.load("r1"));
      expect([Math.min(...loads), Math.max(...loads)]).toEqual([count, count]);
    });
  }

  it("forgets a gateway that stays silent, and asks it no more", async () => {
    const fleet = new Fleet(hash, 4, 24);
    await fleet.time.runUntil(SETTLE_MS);
    fleet.members[3]?.process.kill();
    await fleet.time.runUntil(SETTLE_MS + FORGET_MS - 1_000);
    expect(fleet.members[0]?.directory.known.includes(addressOf(3))).toEqual(true);
    await fleet.time.runUntil(SETTLE_MS + FORGET_MS + 10_000);
    for (const { directory } of fleet.alive()) expect(directory.known.includes(addressOf(3))).toEqual(false);
  });

  it("sends messages that grow with the gateways, not with their square", async () => {
    const perGateway: number[] = [];
    for (const count of [48, 96]) {
      const fleet = new Fleet(hash, count, 24);
      await fleet.time.runUntil(SETTLE_MS);
      fleet.messages = 0;
      await fleet.time.runUntil(2 * SETTLE_MS);
      perGateway.push(fleet.messages / count / (SETTLE_MS / 1_000));
    }
    const [small = 0, large = 0] = perGateway;
    expect(large < 1.1 * small).toEqual(true);
    expect(large < 20).toEqual(true);
  });
});
