/** Reads one answer of a runner to a streamed call: its events, or the body of a failure. Holds a bounded part of it. */

import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import { ByteCollector } from "../../runtime/byte-collector.ts";
import { EventSplitter, type StreamEvent } from "./event-splitter.ts";

const FIRST_FAILURE_STATUS = 300;
/** Maximum size of an event, in bytes. */
const MAX_EVENT_BYTES = 262_144;
/** Maximum size of a failure's body, in bytes. */
const MAX_FAILURE_BYTES = 262_144;

export class StreamReader {
  /** The head of the answer, once it has arrived. */
  head: HttpAnswerHead | undefined;
  readonly #splitter = new EventSplitter();
  readonly #failure = new ByteCollector();

  /** Whether the runner has answered with a failure, which has no events. */
  get hasFailed(): boolean {
    return this.head !== undefined && this.head.status >= FIRST_FAILURE_STATUS;
  }

  /** The body of a failure, as far as it has arrived. */
  get failureBody(): Buffer {
    return this.#failure.bytes;
  }

  /** Number of bytes of an event that is not complete. */
  get unfinishedBytes(): number {
    return this.#splitter.rest.length;
  }

  /** Number of bytes that are held until more of the answer arrives. */
  get heldBytes(): number {
    return this.#failure.length + this.#splitter.rest.length;
  }

  /** Which limit the answer exceeds; undefined if it exceeds none. */
  get exceededLimit(): string | undefined {
    if (this.#failure.length > MAX_FAILURE_BYTES) return `a failure of more than ${MAX_FAILURE_BYTES} bytes`;
    if (this.#splitter.rest.length > MAX_EVENT_BYTES) return `an event of more than ${MAX_EVENT_BYTES} bytes`;
    return undefined;
  }

  /** Adds a piece of the body; returns the events that are complete now. */
  push(chunk: Buffer): StreamEvent[] {
    if (!this.hasFailed) return this.#splitter.push(chunk);
    this.#failure.push(chunk);
    return [];
  }
}
