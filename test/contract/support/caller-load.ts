/**
 * Simulates callers of three zones at gateways of different size. Work is modelled as a flow. Callers are given gateways
 * either by headroom or as if all were alike.
 */
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import { FULL_HEADROOM, type Headroom } from "../../../src/scheduling/caller-spread/headroom.ts";
import { HeadroomController } from "../../../src/scheduling/caller-spread/headroom-controller.ts";
import { selectGateways } from "../../../src/scheduling/caller-spread/select-gateways.ts";

const ZONES = ["z0", "z1", "z2"];
/** Work per second that gateways can do; assigned in rotation. */
const SIZES = [1, 1, 1, 3, 3];
const GATEWAYS_PER_ZONE = 10;
const CALLERS_PER_ZONE = 36;
const TICK_MS = 100;
const UPDATE_INTERVAL_MS = 500;
const ANSWER_TTL_MS = 1_000;
const DRAW_TTL_MS = 10_000;
/** Work per call. */
const CALL_WORK = 0.005;

/** What is simulated. */
export interface CallerScenario {
  readonly durationMs: number;
  readonly byHeadroom: boolean;
  /** Work that arrives from a zone, as a share of the mean capacity of a zone. */
  demand(zone: number, nowMs: number): number;
  /** The headroom of a gateway that others know, given its current headroom. */
  reportedHeadroom(gateway: number, headroom: Headroom): Headroom | undefined;
}

/** Duration of calls at gateways, in ms, and the smallest number of addresses in an answer. */
export interface CallerTimes {
  readonly mean: number;
  readonly p95: number;
  readonly fewest: number;
}

class Gateway {
  readonly zone: string;
  readonly capacity: number;
  readonly control = new HeadroomController();
  reportedHeadroom: Headroom | undefined = FULL_HEADROOM;
  arriving = 0;
  backlog = 0;
  #done = 0;

  constructor(zone: string, capacity: number) {
    this.zone = zone;
    this.capacity = capacity;
  }

  /** Processes one tick. Returns the duration of the calls that arrived in it, in ms. */
  tick(): number {
    const maxWork = (this.capacity * TICK_MS) / 1_000;
    const usage = Math.min(0.95, this.arriving / maxWork);
    const timeMs = (1_000 * (this.backlog + CALL_WORK / (1 - usage))) / this.capacity;
    const done = Math.min(maxWork, this.backlog + this.arriving);
    this.backlog += this.arriving - done;
    this.#done += done;
    return timeMs;
  }

  updateHeadroom(nowMs: number): void {
    const busy = this.#done / ((this.capacity * UPDATE_INTERVAL_MS) / 1_000);
    this.#done = 0;
    this.control.update({ busy, memory: 0.5, calls: 0, stoodStill: false }, nowMs);
  }
}

/** Simulates a scenario; deterministic. */
export function simulateCallers(scenario: CallerScenario): CallerTimes {
  const random = new SeededRandomSource(3);
  const gateways = ZONES.flatMap((zone) => {
    return Array.from(
      { length: GATEWAYS_PER_ZONE },
      (_, index) => new Gateway(zone, SIZES[index % SIZES.length] ?? 1),
    );
  });
  const capacity = gateways.reduce((sum, gateway) => sum + gateway.capacity, 0) / ZONES.length;
  const callers = ZONES.flatMap((zone) =>
    Array.from({ length: CALLERS_PER_ZONE }, () => ({ zone, targets: [] as Gateway[] })),
  );
  const draws = new Map<string, number>();
  const samples: [timeMs: number, work: number][] = [];
  let fewest = gateways.length;

  function requestGateways(zone: string): Gateway[] {
    const answeringGateway = random.below(GATEWAYS_PER_ZONE);
    const candidates = gateways.map((gateway, index) => {
      const draw = draws.get(`${zone} ${answeringGateway} ${index}`) ?? random.unit();
      draws.set(`${zone} ${answeringGateway} ${index}`, draw);
      const headroom = scenario.byHeadroom ? gateway.reportedHeadroom : undefined;
      return { address: String(index), zone: gateway.zone, headroom, knownForMs: 60_000, draw };
    });
    const selected = selectGateways(candidates, zone);
    fewest = Math.min(fewest, selected.length);
    return selected.map(({ address }) => gateways[Number(address)] as Gateway);
  }

  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    if (nowMs % DRAW_TTL_MS === 0) draws.clear();
    for (const gateway of gateways) gateway.arriving = 0;
    for (const [index, caller] of callers.entries()) {
      if (nowMs % ANSWER_TTL_MS === (index * TICK_MS) % ANSWER_TTL_MS || nowMs === 0)
        caller.targets = requestGateways(caller.zone);
      const demand = scenario.demand(ZONES.indexOf(caller.zone), nowMs) * capacity;
      const work = (demand * TICK_MS) / 1_000 / CALLERS_PER_ZONE;
      for (const gateway of caller.targets) gateway.arriving += work / caller.targets.length;
    }
    for (const gateway of gateways) {
      const { arriving } = gateway;
      samples.push([gateway.tick(), arriving]);
    }
    if (nowMs % UPDATE_INTERVAL_MS !== 0) continue;
    // The headroom after the previous update has reached the other gateways by now.
    for (const [index, gateway] of gateways.entries()) {
      gateway.reportedHeadroom = scenario.reportedHeadroom(index, gateway.control.headroom);
      gateway.updateHeadroom(nowMs);
    }
  }
  return { ...summarize(samples), fewest };
}

function summarize(samples: [timeMs: number, work: number][]): Omit<CallerTimes, "fewest"> {
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
