/** Limits the programs that a gateway keeps in memory for all partitions that it owns. */

/** Memory of a program besides its identifiers, in bytes. */
const PROGRAM_BYTES = 2_048;

export class ProgramLimit {
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Memory of the programs that are kept, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether programs should be dropped from memory. */
  get isExceeded(): boolean {
    return this.#bytes > this.#maxBytes;
  }

  add(program: string): void {
    this.#bytes += PROGRAM_BYTES + program.length;
  }

  remove(program: string): void {
    this.#bytes -= PROGRAM_BYTES + program.length;
  }
}
