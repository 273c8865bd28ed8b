/** A place that a call of this gateway holds, until it is returned to its dispatcher. */
import type { Clock } from "../../runtime/clock.ts";
import type { PlaceReturnSender } from "./place-return-sender.ts";

export class HeldPlace {
  readonly lease: number;
  readonly #dispatcher: string;
  readonly #clock: Clock;
  readonly #returns: PlaceReturnSender;
  readonly #grantedAtMs: number;
  #isReleased = false;

  /** @param dispatcher the dispatcher's address */
  constructor(lease: number, dispatcher: string, clock: Clock, returns: PlaceReturnSender) {
    this.lease = lease;
    this.#dispatcher = dispatcher;
    this.#clock = clock;
    this.#returns = returns;
    this.#grantedAtMs = clock.monotonicMs();
  }

  /** Returns the place, once the call has ended at the runner or was turned away there. Further calls have no effect. */
  release(turnedAway: boolean): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    const heldMs = Math.max(0, this.#clock.monotonicMs() - this.#grantedAtMs);
    this.#returns.add(this.#dispatcher, { lease: this.lease, heldMs, turnedAway });
  }
}
