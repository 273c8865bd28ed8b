/** Turns in memory, of which the oldest give way. */
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";

/** See the module's comment. */
export class TurnCache {
  readonly #maxBytes: number;
  /** In the order in which they were added. */
  readonly #turns = new Map<RequestId, RetainedTurnContent>();
  #bytes = 0;

  /** @param maxBytes most bytes of input and output of all turns together */
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
