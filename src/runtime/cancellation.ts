import type { Cancellation } from "../ports/engine/engine-client.ts";

/** A {@link Cancellation} that its owner can trigger. */
export class CancellationSource implements Cancellation {
  #cancelled = false;
  #actions: (() => void)[] = [];

  get cancelled(): boolean {
    return this.#cancelled;
  }

  onCancel(action: () => void): void {
    if (this.#cancelled) action();
    else this.#actions.push(action);
  }

  /** Cancels and runs the registered actions. Further calls have no effect. */
  cancel(): void {
    if (this.#cancelled) return;
    this.#cancelled = true;
    const actions = this.#actions;
    this.#actions = [];
    for (const action of actions) action();
  }
}
