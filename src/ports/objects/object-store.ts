/** The platform's object store. Every method throws a `PlatformError` when the store does not respond. */
export interface ObjectStore {
  /**
   * Writes a whole object. Objects are immutable: a second write of a key is refused unless the bytes are the same.
   */
  put(key: string, bytes: Uint8Array): Promise<void>;
  /** Returns a whole object, or undefined if it does not exist. */
  get(key: string): Promise<Uint8Array | undefined>;
  /** Removes an object if it exists. */
  remove(key: string): Promise<void>;
  /** Returns the keys that start with `prefix`, in order. */
  list(prefix: string): Promise<readonly string[]>;
}
