import type { CallEvent } from "../../messages/call-messages.ts";
import { CancellationSource } from "../../runtime/cancellation.ts";

/** A call that this node is running as its shard's leader: the text so far, and who is to be told. */
export class ActiveCall {
  readonly id: string;
  readonly cancellation = new CancellationSource();
  readonly #send: (address: string, event: CallEvent) => void;
  readonly #subscribers = new Set<string>();
  #text: string;

  /**
   * @param receivedText what a caller has already seen of an earlier attempt; the answer begins with it
   * @param send sends an event to the node that the caller speaks to
   */
  constructor(id: string, receivedText: string, send: (address: string, event: CallEvent) => void) {
    this.id = id;
    this.#text = receivedText;
    this.#send = send;
  }

  /** The text generated so far. */
  get text(): string {
    return this.#text;
  }

  /** Whether anybody waits for the call. */
  get hasSubscribers(): boolean {
    return this.#subscribers.size > 0;
  }

  /** Adds a node that a caller speaks to, and sends it what it has not seen. */
  subscribe(address: string, receivedText: string): void {
    this.#subscribers.add(address);
    this.#send(address, { type: "callAccepted", call: this.id });
    const missing = this.#text.slice(receivedText.length);
    if (missing && this.#text.startsWith(receivedText))
      this.#sendChunk(address, receivedText.length, missing);
  }

  /** Takes one out. */
  unsubscribe(address: string): void {
    this.#subscribers.delete(address);
  }

  /** Adds generated text. A piece that does not join the text so far is dropped: it belongs to an old attempt. */
  append(offset: number, text: string): void {
    if (offset !== this.#text.length) return;
    this.#text += text;
    for (const address of this.#subscribers) this.#sendChunk(address, offset, text);
  }

  /** Tells all who wait. */
  publish(event: CallEvent): void {
    for (const address of this.#subscribers) this.#send(address, event);
  }

  #sendChunk(address: string, offset: number, text: string): void {
    this.#send(address, { type: "callChunk", call: this.id, offset, text });
  }
}
