/** A place that a call of this gateway holds. */
import type { Clock } from "../../runtime/clock.ts";
import type { PlaceReturns } from "./place-returns.ts";

/** See the module's comment. */
export class HeldPlace {
  readonly lease: number;
  readonly #dispatcher: string;
  readonly #clock: Clock;
  readonly #returns: PlaceReturns;
  readonly #sinceMs: number;
  #isReturned = false;

  /** @param dispatcher where the dispatcher is reached */
  constructor(lease: number, dispatcher: string, clock: Clock, returns: PlaceReturns) {
    this.lease = lease;
    this.#dispatcher = dispatcher;
    this.#clock = clock;
    this.#returns = returns;
    this.#sinceMs = clock.monotonicMs();
  }

  /** The call is over at the runner, or was turned away there. */
  giveBack(turnedAway: boolean): void {
    if (this.#isReturned) return;
    this.#isReturned = true;
    const heldMs = Math.max(0, this.#clock.monotonicMs() - this.#sinceMs);
    this.#returns.add(this.#dispatcher, { lease: this.lease, heldMs, turnedAway });
  }
}
