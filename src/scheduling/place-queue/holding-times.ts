/** Measures how long calls hold their places, by route, from the places that were released. No I/O. */
import { MovingAverage } from "../runner-balancing/moving-average.ts";
import { DEFAULT_HOLDING_MS } from "./default-holding-ms.ts";
import { MIN_CALLS_FOR_AVERAGE } from "./min-calls-for-average.ts";

/** Weight of the newest sample in an average. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/** Moving averages of the holding times of places. */
export class HoldingTimes {
  readonly #averageCallMs: (minCalls: number) => number | undefined;
  readonly #byRoute = new Map<string, MovingAverage>();
  readonly #average = new MovingAverage(NEWEST_SAMPLE_WEIGHT);

  /**
   * @param averageCallMs average call time from before places were handed out here; undefined if fewer than `minCalls`
   *   calls were seen
   */
  constructor(averageCallMs: (minCalls: number) => number | undefined) {
    this.#averageCallMs = averageCallMs;
  }

  /** The average over all routes, in ms. */
  get averageMs(): number {
    return this.#average.value ?? this.#averageCallMs(MIN_CALLS_FOR_AVERAGE) ?? DEFAULT_HOLDING_MS;
  }

  /** The average of one route, in ms; the average over all routes while it is unknown. */
  forRoute(route: string): number {
    return this.#byRoute.get(route)?.value ?? this.averageMs;
  }

  /** Records how long a call held its place. */
  record(route: string, heldMs: number): void {
    const routeAverage = this.#byRoute.get(route) ?? new MovingAverage(NEWEST_SAMPLE_WEIGHT);
    this.#byRoute.set(route, routeAverage);
    routeAverage.add(heldMs);
    this.#average.add(heldMs);
  }
}
