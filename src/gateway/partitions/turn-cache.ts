/** An in-memory cache of turns with a size limit. It evicts the oldest turns first. */
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";

/** Caches the content of turns by their identifiers. */
export class TurnCache {
  readonly #maxBytes: number;
  /** In insertion order. */
  readonly #turns = new Map<RequestId, RetainedTurnContent>();
  #bytes = 0;

  /** @param maxBytes limit on the total size of the inputs and outputs of all turns */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get(turn: RequestId): RetainedTurnContent | undefined {
    return this.#turns.get(turn);
  }

  add(turn: RequestId, content: RetainedTurnContent): void {
    if (this.#turns.has(turn)) return;
    this.#turns.set(turn, content);
    this.#bytes += sizeOf(content);
    for (const [oldest, evicted] of this.#turns) {
      if (this.#bytes <= this.#maxBytes) return;
      this.#turns.delete(oldest);
      this.#bytes -= sizeOf(evicted);
    }
  }
}

function sizeOf({ input, output }: RetainedTurnContent): number {
  return input.length + output.length;
}
