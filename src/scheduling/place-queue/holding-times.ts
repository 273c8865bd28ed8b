/** How long calls hold their places here, learned by route from those that were given back. Pure. */

/** Assumed while nothing is known, in ms: about a turn of a few events. */
const INITIAL_MS = 200;
/** Weight of the newest sample in an average. */
const SAMPLE_WEIGHT = 0.1;

/** See the module's comment. */
export class HoldingTimes {
  readonly #usualMs: () => number | undefined;
  readonly #byRoute = new Map<string, number>();
  #averageMs: number | undefined;

  /** @param usualMs how long calls took before places were handed out here, if that is known */
  constructor(usualMs: () => number | undefined) {
    this.#usualMs = usualMs;
  }

  /** Of all routes together. */
  get averageMs(): number {
    return this.#averageMs ?? this.#usualMs() ?? INITIAL_MS;
  }

  /** Of one route; that of all while it is not known. */
  of(route: string): number {
    return this.#byRoute.get(route) ?? this.averageMs;
  }

  /** A place was held for so long. */
  note(route: string, heldMs: number): void {
    this.#byRoute.set(route, blend(this.#byRoute.get(route), heldMs));
    this.#averageMs = blend(this.#averageMs, heldMs);
  }
}

function blend(averageMs: number | undefined, sampleMs: number): number {
  return averageMs === undefined ? sampleMs : averageMs + (sampleMs - averageMs) * SAMPLE_WEIGHT;
}
