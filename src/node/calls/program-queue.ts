import type { SubmitCall } from "../../messages/call-messages.ts";

/** A submitted call that waits for its turn. */
export interface QueuedCall {
  readonly submit: SubmitCall;
  readonly from: string;
  readonly arrivedMs: number;
}

/** The waiting calls of one program. One call runs at a time, in the order of the call numbers. */
export class ProgramQueue {
  /** Whether a call of the program is running. */
  busy = false;
  readonly #waiting: QueuedCall[] = [];

  /** Number of waiting calls. */
  get length(): number {
    return this.#waiting.length;
  }

  /** Returns the waiting calls. */
  entries(): readonly QueuedCall[] {
    return this.#waiting;
  }

  /** Adds a call. If it is already waiting, replaces its submission and sender but keeps its arrival time. */
  add(entry: QueuedCall): void {
    const position = this.#waiting.findIndex(({ submit }) => submit.call === entry.submit.call);
    if (position < 0) this.#waiting.push(entry);
    else this.#waiting[position] = { ...entry, arrivedMs: this.#waiting[position].arrivedMs };
  }

  /** Removes and returns the next call: one whose number is due or past, otherwise the first without a number. */
  takeNext(nextNumber: number): QueuedCall | undefined {
    const due = this.#waiting.findIndex(
      ({ submit }) => submit.number !== undefined && submit.number <= nextNumber,
    );
    const position = due >= 0 ? due : this.#waiting.findIndex(({ submit }) => submit.number === undefined);
    return position < 0 ? undefined : this.#waiting.splice(position, 1)[0];
  }

  /** Removes and returns the calls that arrived before `sinceMs`. */
  takeOlderThan(sinceMs: number): QueuedCall[] {
    const old = this.#waiting.filter((entry) => entry.arrivedMs < sinceMs);
    for (const entry of old) this.#waiting.splice(this.#waiting.indexOf(entry), 1);
    return old;
  }

  /** Removes a call that no caller waits for any more. */
  remove(call: string): QueuedCall | undefined {
    const position = this.#waiting.findIndex(({ submit }) => submit.call === call);
    return position < 0 ? undefined : this.#waiting.splice(position, 1)[0];
  }
}
