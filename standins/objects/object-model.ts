/** An in-memory version of the platform's object store. Objects are immutable. */
export class ObjectModel {
  readonly #objects = new Map<string, Uint8Array>();

  /** Writes an object. Returns false if the key already has different content. */
  put(key: string, bytes: Uint8Array): boolean {
    const existing = this.#objects.get(key);
    if (existing && Buffer.compare(existing, bytes) !== 0) return false;
    this.#objects.set(key, Uint8Array.from(bytes));
    return true;
  }

  /** An object's bytes, or undefined if it does not exist. */
  get(key: string): Uint8Array | undefined {
    return this.#objects.get(key);
  }

  /** Removes an object. */
  remove(key: string): void {
    this.#objects.delete(key);
  }

  /** Keys that start with a prefix, sorted. */
  list(prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort();
  }
}
