/** An in-memory cache of turns with a size limit. It evicts the oldest turns first. */
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";

/** Memory of a cached turn besides its content and identifiers, in bytes. */
const TURN_BYTES = 1_024;

/** Caches the content of turns by their identifiers. */
export class TurnCache {
  readonly #maxBytes: number;
  /** In insertion order. */
  readonly #turns = new Map<RequestId, RetainedTurnContent>();
  #bytes = 0;

  /** @param maxBytes limit on the memory of all turns */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Memory of all turns, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get(turn: RequestId): RetainedTurnContent | undefined {
    return this.#turns.get(turn);
  }

  add(turn: RequestId, content: RetainedTurnContent): void {
    if (this.#turns.has(turn)) return;
    this.#turns.set(turn, content);
    this.#bytes += sizeOf(turn, content);
    for (const [oldest, evicted] of this.#turns) {
      if (this.#bytes <= this.#maxBytes) return;
      this.#turns.delete(oldest);
      this.#bytes -= sizeOf(oldest, evicted);
    }
  }
}

function sizeOf(turn: RequestId, { previousTurn, input, output }: RetainedTurnContent): number {
  return TURN_BYTES + turn.length + (previousTurn?.length ?? 0) + input.length + output.length;
}
