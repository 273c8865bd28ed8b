/**
 * Messages that nobody waits for: each write to a connection costs both ends more than what is in it, so that these travel
 * with the next message to their address, or together after a while.
 */
export class DeferredMessages<AnyMessage> {
  readonly #send: (address: string, messages: readonly AnyMessage[]) => void;
  readonly #waiting = new Map<string, AnyMessage[]>();
  #timer: NodeJS.Timeout | undefined;

  /** @param send sends messages that have waited long enough */
  constructor(send: (address: string, messages: readonly AnyMessage[]) => void) {
    this.#send = send;
  }

  /** Keeps a message for `withinMs` at most. */
  add(address: string, message: AnyMessage, maxDelayMs: number): void {
    const queued = this.#waiting.get(address);
    if (queued) queued.push(message);
    else this.#waiting.set(address, [message]);
    // One timer for all: the first message that waits sets when all of them leave.
    this.#timer ??= setTimeout(() => this.flush(), maxDelayMs).unref();
  }

  /** Those that wait for an address; they wait no longer. */
  take(address: string): readonly AnyMessage[] {
    const messages = this.#waiting.get(address);
    if (!messages) return [];
    this.#waiting.delete(address);
    return messages;
  }

  /** Sends all that wait. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    for (const address of [...this.#waiting.keys()]) this.#send(address, this.take(address));
  }
}
