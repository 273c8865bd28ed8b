import type { Cancellation } from "../ports/engine/engine-client.ts";

/** The holder's end of a {@link Cancellation}. */
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

  /** Cancels; a second time changes nothing. */
  cancel(): void {
    if (this.#cancelled) return;
    this.#cancelled = true;
    const actions = this.#actions;
    this.#actions = [];
    for (const action of actions) action();
  }
}
