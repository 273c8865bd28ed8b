/** How long calls hold their places here, learned by route from those that were given back. Pure. */
import { MovingAverage } from "../runner-balancing/moving-average.ts";
import { ASSUMED_HOLDING_MS } from "./assumed-holding.ts";
import { LEAST_CALLS } from "./least-calls.ts";

/** Weight of the newest sample in an average. */
const SAMPLE_WEIGHT = 0.1;

/** See the module's comment. */
export class HoldingTimes {
  readonly #usualMs: (leastCalls: number) => number | undefined;
  readonly #byRoute = new Map<string, MovingAverage>();
  readonly #average = new MovingAverage(SAMPLE_WEIGHT);

  /** @param usualMs how long calls took before places were handed out here, if as many calls as it is asked for were seen */
  constructor(usualMs: (leastCalls: number) => number | undefined) {
    this.#usualMs = usualMs;
  }

  /** Of all routes together. */
  get averageMs(): number {
    return this.#average.value ?? this.#usualMs(LEAST_CALLS) ?? ASSUMED_HOLDING_MS;
  }

  /** Of one route; that of all while it is not known. */
  of(route: string): number {
    return this.#byRoute.get(route)?.value ?? this.averageMs;
  }

  /** A place was held for so long. */
  note(route: string, heldMs: number): void {
    const ofRoute = this.#byRoute.get(route) ?? new MovingAverage(SAMPLE_WEIGHT);
    this.#byRoute.set(route, ofRoute);
    ofRoute.add(heldMs);
    this.#average.add(heldMs);
  }
}
