/**
 * Builds the files that the platform runs, into target/: the gateway bundle, its code cache, and the script that starts
 * it. The code cache comes from gateways that have served some requests; without it a gateway starts more slowly.
 */
import { spawnSync } from "node:child_process";
import { rmSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";
import { runtimeFlags } from "./build/runtime-flags.mjs";

const SCHEMA_WRITER = "target/write-settings-schema.cjs";
const CODE_CACHE = "target/gateway-bundle.code-cache";
/** Maximum duration of the warm-up, in ms. */
const WARM_UP_TIMEOUT_MS = 60_000;
/** A free address may be taken by the time a gateway binds it: the warm-up is then repeated with other addresses. */
const WARM_UP_TRIES = 3;

/**
 * Excludes modules that libraries load optionally and can work without: HTTP/2 is not used here, and the native part of
 * cbor-x is not shipped with the bundle, so each start would search for it in vain.
 */
const withoutOptional = {
  name: "without-optional",
  setup(build) {
    build.onResolve({ filter: /^(node:http2|cbor-extract)$/ }, ({ path }) => ({ path, namespace: "absent" }));
    build.onLoad({ filter: /.*/, namespace: "absent" }, ({ path }) => ({
      contents: `throw new Error("${path} is not part of the bundle");`,
      loader: "js",
    }));
  },
};

/** Replaces node:assert: libraries use only one function of it, but it loads much code to explain failures. */
const plainAssert = {
  name: "plain-assert",
  setup(build) {
    build.onResolve({ filter: /^(node:)?assert$/ }, () => ({
      path: resolve("bench/build/plain-assert.cjs"),
    }));
  },
};

/** Bundles an entry point into one file. */
function bundle(entryPoint, outfile, define = {}) {
  return build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    charset: "ascii",
    legalComments: "none",
    logLevel: "warning",
    plugins: [withoutOptional, plainAssert],
    define,
  });
}

/** Warms up gateways and stores their compiled code; returns whether it succeeded. */
function writeCodeCache() {
  const { status } = spawnSync(process.execPath, [...runtimeFlags(), "target/write-code-cache.cjs"], {
    stdio: ["ignore", "ignore", "inherit"],
    timeout: WARM_UP_TIMEOUT_MS,
  });
  return status === 0;
}

/** Returns the schema of a gateway's settings, as JSON. */
async function settingsSchema() {
  await bundle("bench/build/write-settings-schema.ts", SCHEMA_WRITER);
  const { stdout } = spawnSync(process.execPath, [SCHEMA_WRITER], { encoding: "utf8" });
  rmSync(SCHEMA_WRITER);
  return stdout;
}

rmSync(CODE_CACHE, { force: true });
const define = { SETTINGS_SCHEMA: await settingsSchema() };
await Promise.all([
  bundle("platform/main.ts", "target/gateway-bundle.cjs", define),
  bundle("src/launcher/main.ts", "target/gateway.cjs"),
  bundle("bench/build/write-code-cache.ts", "target/write-code-cache.cjs"),
]);
let isWritten = false;
for (let tries = 0; !isWritten && tries < WARM_UP_TRIES; tries += 1) isWritten = writeCodeCache();
rmSync("target/write-code-cache.cjs");
if (!isWritten) process.stderr.write("No compiled code was stored: gateways start more slowly.\n");
