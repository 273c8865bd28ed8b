/**
 * The gateway's bundle as a script, with the compiled code that the build has stored beside it. Machines have small
 * processors and restart often: compiling the bundle anew would be a third of a start.
 */
import { existsSync, readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";

const BUNDLE_FILE = "gateway-bundle.cjs";
const CODE_CACHE_FILE = "gateway-bundle.code-cache";
const WRAPPER = ["(function (require) {", "\n})"] as const;

type Bundle = (require: NodeJS.Require) => void;

/** See the module's comment. */
export class BundleScript {
  readonly #path: string;
  readonly #script: Script;

  /** @param folder where the build has put the bundle and, unless it is being made, its compiled code */
  constructor(folder: string) {
    this.#path = join(folder, BUNDLE_FILE);
    // The build writes nothing but ASCII, so that one byte is one character.
    const source = readFileSync(this.#path, "latin1");
    const cache = BundleScript.cachePath(folder);
    const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
    this.#script = new Script(`${WRAPPER[0]}${source}${WRAPPER[1]}`, {
      filename: this.#path,
      ...(cachedData ? { cachedData } : {}),
    });
  }

  /** Where compiled code lies. */
  static cachePath(folder: string): string {
    return join(folder, CODE_CACHE_FILE);
  }

  /** Whether there was compiled code, of another version of the runtime or for other flags: it was compiled anew. */
  get cacheRejected(): boolean {
    return this.#script.cachedDataRejected === true;
  }

  /** Runs the bundle; each run is a gateway of its own. */
  run(): void {
    const bundle = this.#script.runInThisContext() as Bundle;
    bundle(createRequire(this.#path));
  }

  /** The compiled code of the functions that have run so far. */
  compiledCode(): Buffer {
    return this.#script.createCachedData();
  }
}
