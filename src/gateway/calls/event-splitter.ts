/** Splits a stream of bytes (`text/event-stream`) into whole events. */

/** One event of a stream, with its bytes unchanged. */
export interface StreamEvent {
  /** All bytes, including the blank line at the end. */
  readonly bytes: Buffer;
  /** The event's number, if it has one. */
  readonly id: number | undefined;
  /** The event's data, with its lines joined by line feeds. */
  readonly data: string;
}

const EVENT_END = "\n\n";
const EVENT_END_CRLF = "\r\n\r\n";

export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** The bytes of an event that is not complete yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Adds bytes; returns the events that are complete now. */
  push(chunk: Buffer): StreamEvent[] {
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    for (let end = eventEnd(this.#rest); end > 0; end = eventEnd(this.#rest)) {
      events.push(parseEvent(this.#rest.subarray(0, end)));
      this.#rest = this.#rest.subarray(end);
    }
    return events;
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#rest = Buffer.alloc(0);
  }
}

/** The end of the first event; 0 if no event is complete. */
function eventEnd(bytes: Buffer): number {
  const plain = bytes.indexOf(EVENT_END);
  const crlf = bytes.indexOf(EVENT_END_CRLF);
  if (plain < 0 && crlf < 0) return 0;
  if (crlf < 0 || (plain >= 0 && plain < crlf)) return plain + EVENT_END.length;
  return crlf + EVENT_END_CRLF.length;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const data: string[] = [];
  let id: number | undefined;
  for (const line of bytes.toString("latin1").split(/\r?\n/)) {
    const separator = line.indexOf(":");
    if (separator <= 0) continue;
    const value = line.slice(line[separator + 1] === " " ? separator + 2 : separator + 1);
    const field = line.slice(0, separator);
    if (field === "data") data.push(value);
    if (field === "id" && /^\d+$/.test(value)) id = Number(value);
  }
  return { bytes, id, data: data.join("\n") };
}
