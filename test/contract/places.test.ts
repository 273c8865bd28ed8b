/** Tests dispatchers and the gateways that request places from them, with one failure at a time. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import { type PlacedCall, PlaceFleet, type PlaceMember } from "./support/place-fleet.ts";

const SETTLE_MS = 3_000;
/** Maximum time until all gateways know of a loss that was not announced. */
const DETECTION_MS = 3_000;
/** Maximum time that a call loses to a dispatcher that does not answer, beyond the announced wait. */
const FALLBACK_MS = 150;

const verdictsOf = (calls: readonly PlacedCall[]) => new Set(calls.map(({ verdict }) => verdict));

describe("places", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  /** Starts a fleet, and waits until its gateways know each other. */
  async function startFleet(
    gateways: number,
    runners: number,
    slots: number,
    oldBuilds?: number[],
  ): Promise<PlaceFleet> {
    const fleet = new PlaceFleet(hash, gateways, runners, slots, oldBuilds);
    await fleet.time.runUntil(SETTLE_MS);
    return fleet;
  }

  async function advance(fleet: PlaceFleet, ms: number): Promise<void> {
    await fleet.time.runUntil(fleet.time.nowMs + ms);
  }

  /** The first gateway that is not the dispatcher. */
  function nonDispatcherOf(fleet: PlaceFleet): PlaceMember {
    const dispatcher = fleet.dispatcherOf(fleet.at(0));
    return fleet.members.find((member) => member !== dispatcher) as PlaceMember;
  }

  const startCall = (fleet: PlaceFleet, holdMs: number) => (member: PlaceMember) =>
    fleet.call(member, holdMs);

  it("are handed out so that no runner gets more calls than it has slots, whichever gateways ask", async () => {
    const fleet = await startFleet(6, 2, 3);
    const calls = [1, 2, 3, 4].flatMap(() => fleet.members.map(startCall(fleet, 150)));
    await advance(fleet, 1_500);
    expect(verdictsOf(calls)).toEqual(new Set(["granted" as const]));
    expect(fleet.maxCallsPerRunner).toEqual(3);
    // 24 calls on six places, 150 ms each, plus the time to hand places over.
    expect(Math.max(...calls.map(({ record }) => record?.waitedMs ?? 0))).toBeLessThan(600);
  });

  it("are handed out by one dispatcher, also when gateways learn of each other through relays", async () => {
    const fleet = await startFleet(30, 1, 2);
    // The dispatcher learns how long calls take here.
    fleet.call(fleet.at(0), 20);
    await advance(fleet, 100);
    const calls = fleet.members.map(startCall(fleet, 20));
    await advance(fleet, 1_000);
    expect(verdictsOf(calls)).toEqual(new Set(["granted" as const]));
    expect(new Set(calls.map(({ record }) => record?.dispatcher)).size).toEqual(1);
    expect(fleet.maxCallsPerRunner).toEqual(2);
  });

  it("go to the other waiting calls when a waiting call is cancelled", async () => {
    const fleet = await startFleet(3, 1, 1);
    const requester = nonDispatcherOf(fleet);
    fleet.call(requester, 300);
    await advance(fleet, 10);
    const [first, second] = [fleet.call(requester, 100), fleet.call(requester, 100)];
    await advance(fleet, 10);
    requester.client.cancel(first.placeRequest);
    await advance(fleet, 330);
    expect([first.verdict, second.verdict]).toEqual([undefined, "granted"]);
  });

  it("are chosen by each gateway alone after the dispatcher was killed, until another one is known", async () => {
    const fleet = await startFleet(4, 1, 1);
    const requester = nonDispatcherOf(fleet);
    fleet.call(requester, 400);
    await advance(fleet, 10);
    const waiting = fleet.call(requester, 50);
    await advance(fleet, 10);
    expect(waiting.placeRequest.state).toEqual("queued");
    fleet.dispatcherOf(requester).process.kill();
    const newCall = fleet.call(requester, 50);
    await advance(fleet, FALLBACK_MS);
    expect(newCall.verdict).toEqual("alone");
    await advance(fleet, 1.5 * (waiting.placeRequest.expectedMs ?? 0));
    expect(waiting.verdict).toEqual("alone");
    await advance(fleet, DETECTION_MS);
    const later = fleet.call(requester, 50);
    await advance(fleet, 50);
    expect(later.verdict).toEqual("granted");
  });

  // Guards against calls that are sent to full runners, and wait there until their deadlines, because no dispatcher answers.
  it("are refused immediately to calls that cannot finish in time when no dispatcher answers", async () => {
    const fleet = await startFleet(4, 1, 1);
    const requester = nonDispatcherOf(fleet);
    fleet.call(requester, 1_000);
    await advance(fleet, 10);
    fleet.dispatcherOf(requester).process.kill();
    const short = fleet.call(requester, 50, { patienceMs: 300, leftMs: 300 });
    const long = fleet.call(requester, 50, { leftMs: 3_000 });
    await advance(fleet, FALLBACK_MS);
    expect([short.verdict, long.verdict]).toEqual(["refused", "alone"]);
    expect(short.record?.reason).toEqual("wait-too-long-alone");
    expect(short.record?.unasked).toEqual("the dispatcher does not answer");
  });

  // Guards against a whole queue that is sent to full runners at once because its dispatcher was held up for a moment.
  it("are granted to queued calls by a dispatcher that was held up, although it answered no requests meanwhile", async () => {
    const fleet = await startFleet(4, 1, 1);
    const requester = nonDispatcherOf(fleet);
    const dispatcher = fleet.dispatcherOf(requester);
    fleet.call(requester, 500);
    await advance(fleet, 10);
    const waiting = [1, 2, 3].map(() => fleet.call(requester, 50));
    await advance(fleet, 10);
    dispatcher.process.freeze();
    const missed = fleet.call(requester, 50);
    await advance(fleet, 100);
    const missedToo = fleet.call(requester, 50);
    await advance(fleet, 100);
    dispatcher.process.wake();
    await advance(fleet, 1_000);
    expect(verdictsOf([missed, missedToo])).toEqual(new Set(["alone" as const]));
    expect(verdictsOf(waiting)).toEqual(new Set(["granted" as const]));
  });

  it("are granted to waiting calls by the next dispatcher when one stops as planned", async () => {
    const fleet = await startFleet(4, 1, 1);
    const requester = nonDispatcherOf(fleet);
    const dispatcher = fleet.dispatcherOf(requester);
    // The next dispatcher knows only from heartbeats which places are in use.
    fleet.call(requester, 1_500);
    await advance(fleet, 600);
    const waiting = fleet.call(requester, 50, { patienceMs: 3_000 });
    await advance(fleet, 10);
    dispatcher.stop();
    await advance(fleet, 2_600);
    expect(waiting.verdict).toEqual("granted");
    expect(waiting.record?.dispatcher).not.toEqual(dispatcher.instance);
    expect(fleet.maxCallsPerRunner).toEqual(1);
  });

  it("are handed out again by a dispatcher that was frozen for longer than its leases last", async () => {
    const fleet = await startFleet(4, 1, 2);
    const requester = nonDispatcherOf(fleet);
    const dispatcher = fleet.dispatcherOf(requester);
    const held = [fleet.call(requester, 100), fleet.call(requester, 100)];
    await advance(fleet, 20);
    dispatcher.process.freeze();
    await advance(fleet, 6_000);
    expect(verdictsOf(held)).toEqual(new Set(["granted" as const]));
    // Another gateway hands out the places meanwhile.
    const others = [fleet.call(requester, 1_300), fleet.call(requester, 1_300)];
    await advance(fleet, 20);
    dispatcher.process.wake();
    await advance(fleet, 700);
    expect(fleet.dispatcherOf(requester)).toEqual(dispatcher);
    // It knows only from heartbeats which places are in use, and not how long calls take: it waits for new heartbeats.
    const calls = [1, 2, 3].map(() => fleet.call(requester, 100, { patienceMs: 3_000 }));
    await advance(fleet, 2_600);
    expect(verdictsOf([...others, ...calls])).toEqual(new Set(["granted" as const]));
    expect(fleet.maxCallsPerRunner).toEqual(2);
  });

  it("become free when the gateway that holds them dies", async () => {
    const fleet = await startFleet(4, 1, 1);
    const requester = nonDispatcherOf(fleet);
    const dispatcher = fleet.dispatcherOf(requester);
    const holder = fleet.members.find(
      (member) => member !== requester && member !== dispatcher,
    ) as PlaceMember;
    // Calls take a second here, so that leases last much longer than it takes to detect the loss.
    fleet.call(requester, 1_000);
    await advance(fleet, 2_000);
    const held = fleet.call(holder, 60_000);
    await advance(fleet, 20);
    expect(held.verdict).toEqual("granted");
    holder.process.kill();
    await advance(fleet, DETECTION_MS);
    const next = fleet.call(requester, 50);
    await advance(fleet, 50);
    expect(next.verdict).toEqual("granted");
  });

  it("are granted again when the message with the grant was lost", async () => {
    const fleet = await startFleet(3, 1, 1);
    const requester = nonDispatcherOf(fleet);
    const dispatcher = fleet.dispatcherOf(requester);
    fleet.call(dispatcher, 150);
    await advance(fleet, 10);
    const waiting = fleet.call(requester, 50);
    await advance(fleet, 100);
    fleet.network.cut(dispatcher.name, requester.name);
    await advance(fleet, 80);
    fleet.network.heal(dispatcher.name, requester.name);
    await advance(fleet, 300);
    expect(waiting.verdict).toEqual("granted");
    expect(fleet.maxCallsPerRunner).toEqual(1);
  });

  it("are granted although the answer that queues a call arrives late, and no place is lost", async () => {
    const fleet = await startFleet(3, 1, 1);
    const requester = nonDispatcherOf(fleet);
    fleet.network.conditions.reordering = 0.5;
    const calls = Array.from({ length: 10 }, () => fleet.call(requester, 40));
    await advance(fleet, 2_500);
    fleet.network.conditions.reordering = 0;
    expect(calls.every(({ verdict }) => verdict !== undefined)).toEqual(true);
    const last = fleet.call(requester, 40);
    await advance(fleet, 30);
    expect(last.verdict).toEqual("granted");
  });

  it("are handed out again soon after all gateways were restarted at the same time", async () => {
    const fleet = await startFleet(5, 2, 2);
    for (const { process } of fleet.members) process.kill();
    for (const index of fleet.members.keys()) fleet.start(index);
    await advance(fleet, SETTLE_MS);
    const calls = [1, 2].flatMap(() => fleet.members.map(startCall(fleet, 100)));
    await advance(fleet, 1_000);
    expect(verdictsOf(calls)).toEqual(new Set(["granted" as const]));
    expect(fleet.maxCallsPerRunner).toEqual(2);
  });

  it("are handed out at most twice while two gateways consider themselves the dispatcher", async () => {
    const fleet = await startFleet(4, 1, 2);
    const [left, right] = [fleet.members.slice(0, 2), fleet.members.slice(2)];
    for (const one of left)
      for (const other of right) {
        fleet.network.cut(one.name, other.name);
        fleet.network.cut(other.name, one.name);
      }
    await advance(fleet, DETECTION_MS);
    const calls = [1, 2].flatMap(() => fleet.members.map(startCall(fleet, 100)));
    await advance(fleet, 1_000);
    expect(verdictsOf(calls)).toEqual(new Set(["granted" as const]));
    expect(fleet.maxCallsPerRunner).toEqual(4);
  });

  it("are handed out by gateways that support dispatching, alongside older ones", async () => {
    const fleet = await startFleet(6, 1, 1, [0, 1, 2, 3, 4]);
    const newer = fleet.at(5);
    expect(fleet.dispatcherOf(newer)).toEqual(newer);
    const call = fleet.call(newer, 50);
    await advance(fleet, 20);
    expect(call.verdict).toEqual("granted");
  });
});
