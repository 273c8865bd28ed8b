/** What callers saw and operators did during a soak, and what of it breaks a promise. */

/** One try, from the caller's side. */
export interface SoakTry {
  readonly id: string;
  readonly kind: "turn" | "safe" | "unsafe" | "probe";
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
  handed: number;
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
  /** What a turn's runner had to be given, by the turn's identifier. */
  readonly prompts = new Map<string, string>();
  readonly #startedMs = performance.now();

  /** Time since the start, in ms. */
  get nowMs(): number {
    return Math.round(performance.now() - this.#startedMs);
  }

  /** Notes a try. */
  note(entry: Omit<SoakTry, "atMs">): void {
    this.tries.push({ ...entry, atMs: this.nowMs });
  }

  /** Notes a broken promise. */
  breaks(promise: string, detail: string): void {
    this.broken.push({ promise, detail, atMs: this.nowMs });
  }
}
