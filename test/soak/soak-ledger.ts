/** What callers saw and operators did during a soak, and what of it breaks a promise. */

/** One try, from the caller's side. */
export interface SoakTry {
  readonly id: string;
  readonly kind: "turn" | "safe" | "unsafe" | "probe" | "tenant";
  readonly gateway: string;
  readonly atMs: number;
  /** 0 when no whole head came. */
  readonly status: number;
  /** Whether the answer came to its end. */
  readonly whole: boolean;
}

/** A program, from the caller's side. */
export interface SoakProgram {
  readonly name: string;
  readonly budget: number;
  /** Tokens that its caller was handed, those of broken answers included. */
  receivedTokens: number;
}

/** A turn whose answer was whole. */
export interface CompletedTurn {
  readonly id: string;
  /** All that was said up to its end. */
  readonly conversation: string;
  /** When its answer had ended. */
  readonly atMs: number;
  /** Whether a fault lasted then. */
  readonly underFaults: boolean;
}

/** A promise that was broken. */
export interface BrokenPromise {
  readonly promise: string;
  readonly detail: string;
  readonly atMs: number;
}

/** See the module's comment. */
export class SoakLedger {
  readonly programs: SoakProgram[] = [];
  readonly tries: SoakTry[] = [];
  readonly broken: BrokenPromise[] = [];
  /** Turns whose answers were whole. */
  readonly completedTurns: CompletedTurn[] = [];
  /** When all gateways were killed at once. */
  readonly allKilledMs: number[] = [];
  /** Whether a fault lasts. */
  underFaults = false;
  /** When the last fault ended. */
  faultsEndedMs = 0;
  /** How many turns were gone on from after the faults. */
  continuedTurns = 0;
  /** What a turn's runner had to be given, by the turn's identifier. */
  readonly prompts = new Map<string, string>();
  readonly #startedMs = performance.now();

  /** For how long there has been no fault, in ms. */
  get calmForMs(): number {
    return this.underFaults ? 0 : this.nowMs - this.faultsEndedMs;
  }

  /** Time since the start, in ms. */
  get nowMs(): number {
    return Math.round(performance.now() - this.#startedMs);
  }

  /** Notes a try. */
  note(entry: Omit<SoakTry, "atMs">): void {
    this.tries.push({ ...entry, atMs: this.nowMs });
  }

  /** Notes a turn whose answer was whole. */
  recordTurn(id: string, conversation: string): CompletedTurn {
    const turn = { id, conversation, atMs: this.nowMs, underFaults: this.underFaults };
    this.completedTurns.push(turn);
    return turn;
  }

  /** Notes a broken promise. */
  recordBroken(promise: string, detail: string): void {
    this.broken.push({ promise, detail, atMs: this.nowMs });
  }
}
