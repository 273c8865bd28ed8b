/** Confirmed configurations must be in force in time at every gateway that has reached the store for long enough. */
import { before, describe, it } from "node:test";
import { expect } from "earl";
import { type GatewayFleet, GatewayWorld } from "../../bench/simulation/gateways/gateway-world.ts";
import { APPLY_LIMIT_MS, REACHABLE_AFTER_MS } from "../../bench/simulation/gateways/reachability-record.ts";
import { loadTextHash, type TextHash } from "../../src/runtime/text-hash.ts";
import { knownRed } from "../support/known-red.ts";

const START_MS = 5_000;
const CHANGE_EVERY_MS = 130;
const LOOK_MS = 20;
/** Time without faults after each fault, in ms. A late configuration is detected at its end. */
const CALM_MS = REACHABLE_AFTER_MS + 1_200;
const FAULT_COUNT = 60;
/** Durations of faults, in ms. The step wraps around in the range, so that faults end in every phase of a wait. */
const LEAST_MS = 300;
const SPAN_MS = 4_500;
const STEP_MS = 1_373;

const ALONE: GatewayFleet = { gateways: 1, directMost: 24 };
const FEW: GatewayFleet = { gateways: 4, directMost: 24 };
const FAULTY = 0;
const PEER = 1;

/** Injects a fault, and returns a function that ends it. */
type InjectFault = (world: GatewayWorld) => () => void;

const cutStruck: InjectFault = (world) => cut(world, FAULTY);

const FAULTS: Record<string, { readonly fleet: GatewayFleet; readonly strike: InjectFault }> = {
  "a cut of one gateway among others": { fleet: FEW, strike: cutStruck },
  "a cut of a single gateway": { fleet: ALONE, strike: cutStruck },
  "responses that are lost on the way to one gateway": {
    fleet: FEW,
    strike: (world) => cut(world, FAULTY, "answersLost"),
  },
  "an unresponsive store": { fleet: FEW, strike: (world) => failStore(world, "silent") },
  "an unresponsive store in a fleet of one gateway": {
    fleet: ALONE,
    strike: (world) => failStore(world, "silent"),
  },
  "a store that refuses all calls": { fleet: FEW, strike: (world) => failStore(world, "busy") },
  "connections that become silent": {
    fleet: ALONE,
    strike: (world) => () => world.gateways[FAULTY]?.store.silenceConnections(),
  },
  "a cut of a gateway, and then of those that relayed its calls": { fleet: FEW, strike: cutThenItsPeers },
};

function cut(world: GatewayWorld, index: number, path: "cut" | "answersLost" = "cut"): () => void {
  const store = world.gateways[index]?.store;
  if (store) store.path = path;
  return () => {
    if (store) store.path = "open";
  };
}

function failStore(world: GatewayWorld, outage: "silent" | "busy"): () => void {
  const { conditions } = world.store;
  conditions.outage = outage;
  return () => {
    conditions.outage = "none";
  };
}

/** When the first gateway's fault ends, cuts off the others for a while. They are not checked themselves. */
function cutThenItsPeers(world: GatewayWorld): () => void {
  const heal = cutStruck(world);
  return () => {
    heal();
    const peers = [...world.gateways.keys()].filter((index) => index >= PEER);
    const heals = peers.map((index) => cut(world, index));
    world.time.after(CALM_MS, () => {
      for (const healPeer of heals) healPeer();
    });
  };
}

/** The checks at which the first gateway had an older version in force than guaranteed. */
async function findLateChecks(hash: TextHash, name: string): Promise<string[]> {
  const { fleet, strike } = FAULTS[name] as (typeof FAULTS)[string];
  const world = new GatewayWorld(1, hash, fleet);
  const { time } = world;
  const change = (): void => {
    if (world.store.conditions.outage === "none") world.configure();
    time.after(CHANGE_EVERY_MS, change);
  };
  change();
  await time.runUntil(START_MS);
  const late: string[] = [];
  for (let count = 0; count < FAULT_COUNT; count += 1) {
    const lastsMs = LEAST_MS + ((count * STEP_MS) % SPAN_MS);
    const heal = strike(world);
    await time.runUntil(time.nowMs + lastsMs);
    heal();
    const healedMs = time.nowMs;
    while (time.nowMs < healedMs + CALM_MS) {
      await time.runUntil(time.nowMs + LOOK_MS);
      if (time.nowMs - healedMs < REACHABLE_AFTER_MS) continue;
      const due = world.versionAt(time.nowMs - APPLY_LIMIT_MS);
      const inForce = world.gateways[FAULTY]?.routing.routes?.configuration.version ?? 0;
      if (inForce < due)
        late.push(`${lastsMs} ms long, ${time.nowMs - healedMs} ms after: ${inForce}, not ${due}`);
    }
  }
  return late;
}

describe("a confirmed configuration", () => {
  let hash: TextHash;
  before(async () => {
    hash = await loadTextHash();
  });

  for (const trouble of Object.keys(FAULTS)) {
    const name = `is in force in time after ${trouble}`;
    it(name, knownRed(name), async () => {
      expect(await findLateChecks(hash, trouble)).toEqual([]);
    });
  }
});
