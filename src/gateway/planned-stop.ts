/** The course of a planned stop of this process: until when it accepts requests, and until when it finishes answers. */
import type { Clock } from "../runtime/clock.ts";
import type { GatewaySettings } from "./gateway-settings.ts";

const MS_PER_S = 1_000;
/** Part of the time that a process has for its end in which it finishes answers; the rest is for the end itself. */
const ANSWERING_FRACTION = 11 / 12;
/** Part of a stop's duration for which callers that do not know of it yet are accepted at most. */
const MAX_LINGER_FRACTION = 0.5;

export class PlannedStop {
  readonly #clock: Clock;
  readonly #lingerMs: number;
  readonly #stopMs: number;
  #startedAtMs: number | undefined;

  constructor(clock: Clock, { graceS, stopMs, lingerMs }: GatewaySettings["timing"]) {
    this.#clock = clock;
    this.#stopMs = stopMs ?? graceS * MS_PER_S * ANSWERING_FRACTION;
    this.#lingerMs = Math.min(lingerMs, this.#stopMs * MAX_LINGER_FRACTION);
  }

  begin(): void {
    this.#startedAtMs ??= this.#clock.monotonicMs();
  }

  /** Time for which new connections are still accepted, in ms. */
  get lingerLeftMs(): number {
    return Math.max(0, this.#lingerMs - this.#elapsedMs);
  }

  /** Time until unfinished answers are broken off, in ms; not reduced before the stop. */
  get leftMs(): number {
    return Math.max(0, this.#stopMs - this.#elapsedMs);
  }

  /**
   * Whether a request that may take this long is accepted. Callers have had time to learn of the stop, so a request that
   * might be broken off is left to other gateways.
   */
  accepts(timeoutMs: number): boolean {
    return this.#startedAtMs === undefined || this.lingerLeftMs > 0 || timeoutMs <= this.leftMs;
  }

  get #elapsedMs(): number {
    return this.#startedAtMs === undefined ? 0 : this.#clock.monotonicMs() - this.#startedAtMs;
  }
}
