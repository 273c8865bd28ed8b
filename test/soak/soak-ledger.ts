/** Records what callers observed and which faults were active during a soak, and the promises that were broken. */

/** One try of a request, as the caller observed it. */
export interface SoakTry {
  readonly id: string;
  readonly kind: "turn" | "safe" | "unsafe" | "probe" | "tenant";
  readonly gateway: string;
  readonly atMs: number;
  /** 0 if no complete response head arrived. */
  readonly status: number;
  /** Whether the answer arrived completely. */
  readonly whole: boolean;
}

/** A program, as its caller observed it. */
export interface SoakProgram {
  readonly name: string;
  readonly budget: number;
  /** Tokens that its caller received, including those of incomplete answers. */
  receivedTokens: number;
}

/** A turn whose answer arrived completely. */
export interface CompletedTurn {
  readonly id: string;
  /** The conversation up to the end of this turn. */
  readonly conversation: string;
  /** When its answer ended, in ms since the start. */
  readonly atMs: number;
  /** Whether a fault was active then. */
  readonly underFaults: boolean;
}

/** A broken promise: a guarantee to callers or runners that did not hold. */
export interface BrokenPromise {
  readonly promise: string;
  readonly detail: string;
  readonly atMs: number;
}

/** The record of one soak. */
export class SoakLedger {
  readonly programs: SoakProgram[] = [];
  readonly tries: SoakTry[] = [];
  readonly broken: BrokenPromise[] = [];
  /** Turns whose answers arrived completely. */
  readonly completedTurns: CompletedTurn[] = [];
  /** Times at which all gateways were killed at once, in ms since the start. */
  readonly allKilledMs: number[] = [];
  /** Whether a fault is active. */
  underFaults = false;
  /** When the last fault ended, in ms since the start. */
  faultsEndedMs = 0;
  /** Number of turns that were continued after the faults. */
  continuedTurns = 0;
  /** The body that a turn's runner must receive, by the turn's request identifier. */
  readonly prompts = new Map<string, string>();
  readonly #startedMs = performance.now();

  /** Time since the last fault ended, in ms; 0 while one is active. */
  get calmForMs(): number {
    return this.underFaults ? 0 : this.nowMs - this.faultsEndedMs;
  }

  /** Time since the start, in ms. */
  get nowMs(): number {
    return Math.round(performance.now() - this.#startedMs);
  }

  /** Records a try. */
  note(entry: Omit<SoakTry, "atMs">): void {
    this.tries.push({ ...entry, atMs: this.nowMs });
  }

  /** Records a turn whose answer arrived completely. */
  recordTurn(id: string, conversation: string): CompletedTurn {
    const turn = { id, conversation, atMs: this.nowMs, underFaults: this.underFaults };
    this.completedTurns.push(turn);
    return turn;
  }

  /** Records a broken promise. */
  recordBroken(promise: string, detail: string): void {
    this.broken.push({ promise, detail, atMs: this.nowMs });
  }
}
