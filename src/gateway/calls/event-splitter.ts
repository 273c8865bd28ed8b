/** Splits a stream of bytes (`text/event-stream`) into whole events. Each byte is looked at a bounded number of times. */
import { ByteCollector } from "../../runtime/byte-collector.ts";

/** One event of a stream, with its bytes unchanged. */
export interface StreamEvent {
  /** All bytes, including the blank line at the end. */
  readonly bytes: Buffer;
  /** The event's number, if it has one. */
  readonly id: number | undefined;
  /** The event's data, with its lines joined by line feeds. */
  readonly data: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** The most bytes after a line's end that the end of an event is seen by. */
const MAX_LOOK_AHEAD_BYTES = 2;

export class EventSplitter {
  readonly #rest = new ByteCollector();
  /** Where the search for the end of the incomplete event goes on. */
  #searchFrom = 0;

  /** The bytes of an event that is not complete yet. */
  get rest(): Buffer {
    return this.#rest.bytes;
  }

  /** Adds bytes; returns the events that are complete now. */
  push(chunk: Buffer): StreamEvent[] {
    if (this.#rest.length === 0) return this.#split(chunk);
    this.#rest.push(chunk);
    const bytes = this.#rest.bytes;
    const end = eventEnd(bytes, this.#searchFrom);
    if (end === 0) {
      this.#searchFrom = resumptionPoint(bytes, this.#searchFrom);
      return [];
    }
    this.reset();
    return [parseEvent(bytes.subarray(0, end)), ...this.#split(bytes.subarray(end))];
  }

  /** Discards an incomplete event. */
  reset(): void {
    this.#rest.clear();
    this.#searchFrom = 0;
  }

  /** Splits bytes that begin with an event, and keeps what is left of them. */
  #split(bytes: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = eventEnd(bytes, start); end > 0; end = eventEnd(bytes, start)) {
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    if (start === bytes.length) return events;
    const rest = bytes.subarray(start);
    this.#rest.push(rest);
    this.#searchFrom = resumptionPoint(rest, 0);
    return events;
  }
}

/** The end of the first event, of which no earlier line ends it than one that ends after `from`; 0 if none is complete. */
function eventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    const isBlankLine = bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED;
    if (isBlankLine && bytes[at - 1] === CARRIAGE_RETURN) return at + 3;
  }
  return 0;
}

/** Where to search on once more bytes have arrived behind ones that hold no end. */
function resumptionPoint(bytes: Buffer, from: number): number {
  return Math.max(from, bytes.length - 1 - MAX_LOOK_AHEAD_BYTES);
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
