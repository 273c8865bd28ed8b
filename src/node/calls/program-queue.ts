import type { SubmitCall } from "../../messages/call-messages.ts";

/** A call that waits for its turn. */
export interface QueuedCall {
  readonly submit: SubmitCall;
  readonly from: string;
  readonly arrivedMs: number;
}

/** The calls of one program that wait for their turn: one runs at a time, in the order of their numbers. */
export class ProgramQueue {
  /** Whether a call of the program is running. */
  busy = false;
  readonly #waiting: QueuedCall[] = [];

  /** How many calls wait. */
  get length(): number {
    return this.#waiting.length;
  }

  /** The calls that wait. */
  entries(): readonly QueuedCall[] {
    return this.#waiting;
  }

  /** Adds a call; a call that waits already only gets its newer sender. */
  add(entry: QueuedCall): void {
    const position = this.#waiting.findIndex(({ submit }) => submit.call === entry.submit.call);
    if (position < 0) this.#waiting.push(entry);
    else this.#waiting[position] = { ...entry, arrivedMs: this.#waiting[position].arrivedMs };
  }

  /** Takes out the call whose turn it is: one with a number that is due or past, else the first without one. */
  takeNext(nextNumber: number): QueuedCall | undefined {
    const due = this.#waiting.findIndex(
      ({ submit }) => submit.number !== undefined && submit.number <= nextNumber,
    );
    const position = due >= 0 ? due : this.#waiting.findIndex(({ submit }) => submit.number === undefined);
    return position < 0 ? undefined : this.#waiting.splice(position, 1)[0];
  }

  /** Takes out the calls that have waited since before `sinceMs`. */
  takeOlderThan(sinceMs: number): QueuedCall[] {
    const old = this.#waiting.filter((entry) => entry.arrivedMs < sinceMs);
    for (const entry of old) this.#waiting.splice(this.#waiting.indexOf(entry), 1);
    return old;
  }

  /** Takes out a call that nobody waits for any more. */
  remove(call: string): QueuedCall | undefined {
    const position = this.#waiting.findIndex(({ submit }) => submit.call === call);
    return position < 0 ? undefined : this.#waiting.splice(position, 1)[0];
  }
}
