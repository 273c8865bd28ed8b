/**
 * Loads the gateway's bundle as a script, with the V8 code cache that the build stores beside it. Machines have small
 * processors and restart often: without the cache, compiling the bundle would take a third of the start-up time.
 */
import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";

const BUNDLE_FILE = "gateway-bundle.cjs";
const CODE_CACHE_FILE = "gateway-bundle.code-cache";
const WRAPPER = ["(function (require) {", "\n})"] as const;

type Bundle = (require: NodeJS.Require) => void;

/** The gateway's bundle, compiled from the code cache if there is a valid one. */
export class BundleScript {
  readonly #path: string;
  readonly #script: Script;

  /** @param folder contains the bundle and its code cache; the build itself also loads the bundle before the cache exists */
  constructor(folder: string) {
    this.#path = join(folder, BUNDLE_FILE);
    // The build writes only ASCII, so each byte is one character.
    const source = readFileSync(this.#path, "latin1");
    const cache = BundleScript.cachePath(folder);
    const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
    this.#script = new Script(`${WRAPPER[0]}${source}${WRAPPER[1]}`, {
      filename: this.#path,
      ...(cachedData ? { cachedData } : {}),
    });
  }

  /** Returns the path of the code cache. */
  static cachePath(folder: string): string {
    return join(folder, CODE_CACHE_FILE);
  }

  /**
   * Whether V8 rejected the code cache, for example because of another Node.js version or other flags, and compiled the
   * source.
   */
  get cacheRejected(): boolean {
    return this.#script.cachedDataRejected === true;
  }

  /** Runs the bundle; each run starts a separate gateway. */
  run(): void {
    const bundle = this.#script.runInThisContext() as Bundle;
    bundle(createRequire(this.#path));
  }

  /** Returns a code cache with the functions that have run so far. */
  compiledCode(): Buffer {
    return this.#script.createCachedData();
  }
}
