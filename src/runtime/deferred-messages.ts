/**
 * Messages whose delivery may be delayed. A write to a connection costs both ends more than the content of a message, so
 * these messages are sent with the next message to their address, or together after a delay.
 */
export class DeferredMessages<AnyMessage> {
  readonly #send: (address: string, messages: readonly AnyMessage[]) => void;
  readonly #waiting = new Map<string, AnyMessage[]>();
  #timer: NodeJS.Timeout | undefined;

  /** @param send called with the messages of an address when their delay has passed */
  constructor(send: (address: string, messages: readonly AnyMessage[]) => void) {
    this.#send = send;
  }

  /** Queues a message for at most `maxDelayMs`. */
  add(address: string, message: AnyMessage, maxDelayMs: number): void {
    const queued = this.#waiting.get(address);
    if (queued) queued.push(message);
    else this.#waiting.set(address, [message]);
    // One timer for all addresses: the first queued message sets the time at which all of them are sent.
    this.#timer ??= setTimeout(() => this.flush(), maxDelayMs).unref();
  }

  /** Removes and returns the messages queued for an address. */
  take(address: string): readonly AnyMessage[] {
    const messages = this.#waiting.get(address);
    if (!messages) return [];
    this.#waiting.delete(address);
    return messages;
  }

  /** Sends all queued messages. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    for (const address of [...this.#waiting.keys()]) this.#send(address, this.take(address));
  }
}
