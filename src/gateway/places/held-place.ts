/** A place that a call of this gateway holds. */
import type { Clock } from "../../runtime/clock.ts";
import type { PlaceReturnSender } from "./place-return-sender.ts";

/** See the module's comment. */
export class HeldPlace {
  readonly lease: number;
  readonly #dispatcher: string;
  readonly #clock: Clock;
  readonly #returns: PlaceReturnSender;
  readonly #grantedAtMs: number;
  #isReleased = false;

  /** @param dispatcher where the dispatcher is reached */
  constructor(lease: number, dispatcher: string, clock: Clock, returns: PlaceReturnSender) {
    this.lease = lease;
    this.#dispatcher = dispatcher;
    this.#clock = clock;
    this.#returns = returns;
    this.#grantedAtMs = clock.monotonicMs();
  }

  /** The call is over at the runner, or was turned away there. */
  release(turnedAway: boolean): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    const heldMs = Math.max(0, this.#clock.monotonicMs() - this.#grantedAtMs);
    this.#returns.add(this.#dispatcher, { lease: this.lease, heldMs, turnedAway });
  }
}
