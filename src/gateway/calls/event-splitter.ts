/** Cuts a stream of bytes (`text/event-stream`) into whole events. */

/** One event, as its bytes stood. */
export interface StreamEvent {
  /** All bytes, the blank line at the end included. */
  readonly bytes: Buffer;
  /** The event's number, when it has one. */
  readonly id: number | undefined;
  /** The event's data, its lines joined by line feeds. */
  readonly data: string;
}

const EVENT_END = "\n\n";
const EVENT_END_CRLF = "\r\n\r\n";

/** See the module's comment. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes that belong to an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Takes in bytes; returns the events that are whole now. */
  push(chunk: Buffer): StreamEvent[] {
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    for (let end = eventEnd(this.#rest); end > 0; end = eventEnd(this.#rest)) {
      events.push(parseEvent(this.#rest.subarray(0, end)));
      this.#rest = this.#rest.subarray(end);
    }
    return events;
  }

  /** Drops what is not whole. */
  reset(): void {
    this.#rest = Buffer.alloc(0);
  }
}

/** Where the first event ends; 0 when none is whole. */
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
