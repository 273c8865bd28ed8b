/** The platform's object store. Every method throws a `PlatformError` when no answer came. */
export interface ObjectStore {
  /** Writes a whole object. Objects are never changed: a second write of a key is refused unless it is the same. */
  put(key: string, bytes: Uint8Array): Promise<void>;
  /** A whole object, or undefined. */
  get(key: string): Promise<Uint8Array | undefined>;
  /** Removes an object if it is there. */
  remove(key: string): Promise<void>;
  /** Keys that start with `prefix`, in order. */
  list(prefix: string): Promise<readonly string[]>;
}
