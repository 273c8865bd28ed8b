/** The platform's object store, in memory. */
export class ObjectModel {
  readonly #objects = new Map<string, Uint8Array>();

  /** Writes an object. Returns false when another one is there already. */
  put(key: string, bytes: Uint8Array): boolean {
    const existing = this.#objects.get(key);
    if (existing && Buffer.compare(existing, bytes) !== 0) return false;
    this.#objects.set(key, Uint8Array.from(bytes));
    return true;
  }

  /** An object. */
  get(key: string): Uint8Array | undefined {
    return this.#objects.get(key);
  }

  /** Removes an object. */
  remove(key: string): void {
    this.#objects.delete(key);
  }

  /** Keys with a prefix, in order. */
  list(prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort();
  }
}
