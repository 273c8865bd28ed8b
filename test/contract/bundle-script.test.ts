/** Tests loading the gateway's bundle with and without a code cache. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import { BundleScript } from "../../src/launcher/bundle-script.ts";

const RUNS = "bundleScriptTestRuns";
const counters = globalThis as unknown as Record<string, number>;

/** Writes a bundle that counts its runs. V8 caches scripts by their source text, so each test needs a different text. */
function writeBundle(step: number): string {
  const folder = mkdtempSync(join(tmpdir(), "tulipwheel-bundle-"));
  folders.push(folder);
  const source = `const { join } = require("node:path"); globalThis.${RUNS} += ${step} * join("a", "b").length;`;
  writeFileSync(join(folder, "gateway-bundle.cjs"), source);
  return folder;
}

const folders: string[] = [];

describe("bundle script", () => {
  beforeEach(() => {
    counters[RUNS] = 0;
  });
  after(() => {
    for (const folder of folders) rmSync(folder, { recursive: true });
  });

  it("runs the bundle with and without a code cache", () => {
    const folder = writeBundle(1);
    const first = new BundleScript(folder);
    first.run();
    writeFileSync(BundleScript.cachePath(folder), first.compiledCode());
    const second = new BundleScript(folder);
    second.run();
    expect([first.cacheRejected, second.cacheRejected]).toEqual([false, false]);
    expect(counters[RUNS]).toEqual(6);
  });

  it("compiles the bundle from source if the code cache is rejected", () => {
    const folder = writeBundle(2);
    writeFileSync(BundleScript.cachePath(folder), "not compiled code");
    const script = new BundleScript(folder);
    script.run();
    expect(script.cacheRejected).toEqual(true);
    expect(counters[RUNS]).toEqual(6);
  });
});
