/** Bundles the gateway: a process that starts reads and compiles only what it serves with. */
import { build } from "esbuild";

const REQUIRE =
  "import{createRequire as requireOf}from'node:module';const require=requireOf(import.meta.url);";

await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  legalComments: "none",
  logLevel: "warning",
  outdir: "target",
  entryNames: "gateway",
  chunkNames: "gateway-[name]-[hash]",
  outExtension: { ".js": ".mjs" },
  // What only some gateways need, such as metrics, is a file of its own and is read only there.
  splitting: true,
  // Libraries in the older module format ask for Node.js's own modules with `require`.
  banner: { js: REQUIRE },
});
