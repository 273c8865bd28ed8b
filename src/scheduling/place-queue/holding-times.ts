/** How long calls hold their places here, learned by route from those that were given back. Pure. */
import { MovingAverage } from "../runner-board/moving-average.ts";
import { DEFAULT_HOLDING_MS } from "./default-holding-ms.ts";
import { MIN_CALLS_FOR_AVERAGE } from "./min-calls-for-average.ts";

/** Weight of the newest sample in an average. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/** See the module's comment. */
export class HoldingTimes {
  readonly #averageCallMs: (minCalls: number) => number | undefined;
  readonly #byRoute = new Map<string, MovingAverage>();
  readonly #average = new MovingAverage(NEWEST_SAMPLE_WEIGHT);

  /** @param averageCallMs how long calls took before places were handed out here, if as many calls as it is asked for were seen */
  constructor(averageCallMs: (minCalls: number) => number | undefined) {
    this.#averageCallMs = averageCallMs;
  }

  /** Of all routes together. */
  get averageMs(): number {
    return this.#average.value ?? this.#averageCallMs(MIN_CALLS_FOR_AVERAGE) ?? DEFAULT_HOLDING_MS;
  }

  /** Of one route; that of all while it is not known. */
  forRoute(route: string): number {
    return this.#byRoute.get(route)?.value ?? this.averageMs;
  }

  /** A place was held for so long. */
  record(route: string, heldMs: number): void {
    const routeAverage = this.#byRoute.get(route) ?? new MovingAverage(NEWEST_SAMPLE_WEIGHT);
    this.#byRoute.set(route, routeAverage);
    routeAverage.add(heldMs);
    this.#average.add(heldMs);
  }
}
