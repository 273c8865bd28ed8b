/** Callers of three zones at gateways of different size, as flows of work; the directory names gateways by headroom or all alike. */
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import { FULL_HEADROOM, type Headroom } from "../../../src/scheduling/caller-spread/headroom.ts";
import { HeadroomControl } from "../../../src/scheduling/caller-spread/headroom-control.ts";
import { spreadCallers } from "../../../src/scheduling/caller-spread/spread-callers.ts";

const ZONES = ["z0", "z1", "z2"];
/** Work that a gateway does in a second, by size. */
const SIZES = [1, 1, 1, 3, 3];
const PER_ZONE = 10;
const CALLERS_PER_ZONE = 36;
const TICK_MS = 100;
const LOOK_MS = 500;
const TTL_MS = 1_000;
const DRAW_MS = 10_000;
/** Work of one call. */
const CALL_WORK = 0.005;

/** What is played. */
export interface CallerLoad {
  readonly lengthMs: number;
  readonly byHeadroom: boolean;
  /** Work that comes from a zone, as a share of what its gateways can do. */
  demand(zone: number, nowMs: number): number;
  /** What others know of a gateway, given what it says now. */
  tell(gateway: number, headroom: Headroom): Headroom | undefined;
}

/** For how long calls were at gateways, in ms, and the fewest addresses in an answer. */
export interface CallerTimes {
  readonly mean: number;
  readonly p95: number;
  readonly fewest: number;
}

class Gateway {
  readonly zone: string;
  readonly capacity: number;
  readonly control = new HeadroomControl();
  told: Headroom | undefined = FULL_HEADROOM;
  arriving = 0;
  backlog = 0;
  #done = 0;

  constructor(zone: string, capacity: number) {
    this.zone = zone;
    this.capacity = capacity;
  }

  /** One tick; returns how long the calls that came take. */
  work(): number {
    const most = (this.capacity * TICK_MS) / 1_000;
    const usage = Math.min(0.95, this.arriving / most);
    const timeMs = (1_000 * (this.backlog + CALL_WORK / (1 - usage))) / this.capacity;
    const done = Math.min(most, this.backlog + this.arriving);
    this.backlog += this.arriving - done;
    this.#done += done;
    return timeMs;
  }

  look(nowMs: number): void {
    const busy = this.#done / ((this.capacity * LOOK_MS) / 1_000);
    this.#done = 0;
    this.control.look({ busy, memory: 0.5, calls: 0, stoodStill: false }, nowMs);
  }
}

/** Plays a load; the same each time. */
export function playCallers(load: CallerLoad): CallerTimes {
  const random = new SeededRandomSource(3);
  const gateways = ZONES.flatMap((zone) => {
    return Array.from(
      { length: PER_ZONE },
      (_, index) => new Gateway(zone, SIZES[index % SIZES.length] ?? 1),
    );
  });
  const capacity = gateways.reduce((sum, gateway) => sum + gateway.capacity, 0) / ZONES.length;
  const callers = ZONES.flatMap((zone) =>
    Array.from({ length: CALLERS_PER_ZONE }, () => ({ zone, names: [] as Gateway[] })),
  );
  const draws = new Map<string, number>();
  const samples: [timeMs: number, work: number][] = [];
  let fewest = gateways.length;

  function ask(zone: string): Gateway[] {
    const asked = random.below(PER_ZONE);
    const candidates = gateways.map((gateway, index) => {
      const draw = draws.get(`${zone} ${asked} ${index}`) ?? random.unit();
      draws.set(`${zone} ${asked} ${index}`, draw);
      const headroom = load.byHeadroom ? gateway.told : undefined;
      return { address: String(index), zone: gateway.zone, headroom, knownForMs: 60_000, draw };
    });
    const named = spreadCallers(candidates, zone);
    fewest = Math.min(fewest, named.length);
    return named.map(({ address }) => gateways[Number(address)] as Gateway);
  }

  for (let nowMs = 0; nowMs < load.lengthMs; nowMs += TICK_MS) {
    if (nowMs % DRAW_MS === 0) draws.clear();
    for (const gateway of gateways) gateway.arriving = 0;
    for (const [index, caller] of callers.entries()) {
      if (nowMs % TTL_MS === (index * TICK_MS) % TTL_MS || nowMs === 0) caller.names = ask(caller.zone);
      const demand = load.demand(ZONES.indexOf(caller.zone), nowMs) * capacity;
      const work = (demand * TICK_MS) / 1_000 / CALLERS_PER_ZONE;
      for (const gateway of caller.names) gateway.arriving += work / caller.names.length;
    }
    for (const gateway of gateways) {
      const { arriving } = gateway;
      samples.push([gateway.work(), arriving]);
    }
    if (nowMs % LOOK_MS !== 0) continue;
    // What a gateway said at the look before has reached the others by now.
    for (const [index, gateway] of gateways.entries()) {
      gateway.told = load.tell(index, gateway.control.headroom);
      gateway.look(nowMs);
    }
  }
  return { ...summed(samples), fewest };
}

function summed(samples: [timeMs: number, work: number][]): Omit<CallerTimes, "fewest"> {
  samples.sort(([left], [right]) => left - right);
  const all = samples.reduce((sum, [, work]) => sum + work, 0);
  const mean = samples.reduce((sum, [timeMs, work]) => sum + timeMs * work, 0) / all;
  let below = 0;
  const p95 = samples.find(([, work]) => {
    below += work;
    return below >= 0.95 * all;
  });
  return { mean: Math.round(10 * mean) / 10, p95: Math.round(10 * (p95?.[0] ?? 0)) / 10 };
}
