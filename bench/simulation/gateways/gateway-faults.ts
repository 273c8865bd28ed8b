/** The faults of a simulation of gateways, and how each of them begins and ends. */
import type { GatewayWorld } from "./gateway-world.ts";
import type { StoreOutage } from "./simulated-row-store.ts";

/** Faults in which the store does not respond in time. */
export const STORE_FAULTS = [
  "cut-store",
  "cut-store-answers",
  "store-busy",
  "store-silent",
  "store-parts-silent",
  "store-slow",
  "lost-answers",
  "late-writes",
] as const;

/** All kinds of faults. */
export const GATEWAY_FAULTS = [
  "kill",
  "kill-all",
  "freeze",
  "planned-stop",
  "part-peers",
  ...STORE_FAULTS,
  "history-dropped",
  "messages-lost",
  "store-parts-busy",
  "cut-off",
  "kill-half",
] as const;

/** A kind of fault. */
export type GatewayFault = (typeof GATEWAY_FAULTS)[number];

const RESTART_MS = 1_500;
const FAULT_DURATION_MS = 4_000;
/** When only some of the store's parts fail, one in this many does. */
const AWAY_ONE_OF = 3;
const AWAY_DRAW_LENGTH = 8;
/** Longer than a gateway trusts its keys without the store, and shorter than the remaining time to recover. */
const CUT_OFF_MS = 6_500;
const SLOWNESS = 60;
const LOST_RESPONSES_FRACTION = 0.35;
const MESSAGES_LOST_PART = 0.2;

/** Starts a fault, and schedules its end a few seconds later. */
export function injectFault(world: GatewayWorld, fault: GatewayFault): void {
  const index = world.random.below(world.gateways.length);
  const { conditions } = world.store;
  switch (fault) {
    case "kill":
      return killAndRestart(world, [index]);
    case "kill-all":
      return killAndRestart(world, [...world.gateways.keys()]);
    case "kill-half":
      return killAndRestart(world, halfOfAll(world));
    case "freeze":
      return freeze(world, index);
    case "planned-stop":
      return stopAndRestart(world, index);
    case "part-peers":
      return cutPeers(world, index, FAULT_DURATION_MS);
    case "cut-store":
      return cutStore(world, index, "cut", FAULT_DURATION_MS);
    case "cut-store-answers":
      return cutStore(world, index, "answersLost", FAULT_DURATION_MS);
    case "cut-off":
      cutPeers(world, index, CUT_OFF_MS);
      return cutStore(world, index, "cut", CUT_OFF_MS);
    case "store-busy":
      recordStoreFault(world, FAULT_DURATION_MS);
      conditions.outage = "busy";
      return void world.time.after(FAULT_DURATION_MS, () => {
        conditions.outage = "none";
      });
    case "store-silent":
      recordStoreFault(world, FAULT_DURATION_MS);
      conditions.outage = "silent";
      return void world.time.after(FAULT_DURATION_MS, () => {
        conditions.outage = "none";
      });
    case "store-parts-silent":
      return failSomeParts(world, "silent");
    case "store-parts-busy":
      return failSomeParts(world, "busy");
    case "store-slow":
      recordStoreFault(world, FAULT_DURATION_MS);
      conditions.slowness = SLOWNESS;
      return void world.time.after(FAULT_DURATION_MS, () => {
        conditions.slowness = 1;
      });
    case "lost-answers":
    case "late-writes":
      recordStoreFault(world, FAULT_DURATION_MS);
      conditions.lostAnswers = LOST_RESPONSES_FRACTION;
      conditions.lateWrites = fault === "late-writes";
      return void world.time.after(FAULT_DURATION_MS, () => {
        conditions.lostAnswers = 0;
      });
    case "history-dropped":
      recordStoreFault(world, 0);
      world.configure();
      return world.store.model.compact();
    case "messages-lost":
      world.network.conditions.loss = MESSAGES_LOST_PART;
      return void world.time.after(FAULT_DURATION_MS, () => {
        world.network.conditions.loss = 0;
      });
  }
}

function recordStoreFault(world: GatewayWorld, lastsMs: number): void {
  world.reachability.recordStoreFault(world.time.nowMs + lastsMs);
}

function recordGatewayFault(world: GatewayWorld, index: number, lastsMs: number): void {
  world.reachability.recordGatewayFault(index, world.time.nowMs + lastsMs);
}

function killAndRestart(world: GatewayWorld, indexes: readonly number[]): void {
  for (const index of indexes) {
    recordGatewayFault(world, index, RESTART_MS);
    world.gateways[index]?.process.kill();
  }
  world.time.after(RESTART_MS, () => {
    for (const index of indexes) if (!world.gateways[index]?.process.alive) world.start(index);
  });
}

/** Half of the gateways, drawn at random. */
function halfOfAll({ gateways, random }: GatewayWorld): number[] {
  const first = random.below(gateways.length);
  const count = Math.floor(gateways.length / 2);
  return Array.from({ length: count }, (_, index) => (first + index) % gateways.length);
}

function freeze(world: GatewayWorld, index: number): void {
  const process = world.gateways[index]?.process;
  recordGatewayFault(world, index, FAULT_DURATION_MS);
  process?.freeze();
  world.time.after(FAULT_DURATION_MS, () => process?.wake());
}

function stopAndRestart(world: GatewayWorld, index: number): void {
  const gateway = world.gateways[index];
  recordGatewayFault(world, index, FAULT_DURATION_MS);
  void gateway?.stop();
  world.time.after(FAULT_DURATION_MS, () => killAndRestart(world, [index]));
}

function cutPeers(world: GatewayWorld, index: number, lastsMs: number): void {
  const name = `gateway-${index}`;
  world.network.cut(name, "*");
  world.network.cut("*", name);
  world.time.after(lastsMs, () => {
    world.network.heal(name, "*");
    world.network.heal("*", name);
  });
}

/** Makes a random selection of the store's parts fail; each call draws a new selection. */
function failSomeParts(world: GatewayWorld, outage: StoreOutage): void {
  const { conditions } = world.store;
  recordStoreFault(world, FAULT_DURATION_MS);
  const draw = world.random.token(AWAY_DRAW_LENGTH);
  const isAway = (part: string) => world.hash.hash32(`${draw}/${part}`) % AWAY_ONE_OF === 0;
  conditions.partOutage = (part) => (isAway(part) ? outage : "none");
  world.time.after(FAULT_DURATION_MS, () => {
    conditions.partOutage = () => "none";
  });
}

function cutStore(world: GatewayWorld, index: number, path: "cut" | "answersLost", lastsMs: number): void {
  const store = world.gateways[index]?.store;
  if (!store) return;
  recordGatewayFault(world, index, lastsMs);
  store.path = path;
  world.time.after(lastsMs, () => {
    store.path = "open";
  });
}
