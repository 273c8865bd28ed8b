/** Checks that only the adapter, the platform's stand-in and their tests contain the platform's names. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";

const FOLDERS = ["src", "bench", "examples"];
const PLATFORM_NAMES =
  /rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|tls-key|expected-rev|x-(response-signature|not-executed|expect-instance|deadline-ms|token-(budget|usage)|previous-turn|program-(id|deadline-ms)|session-id|prompt-prefix|affinity-key|request-urgency|tenant|kv-backup|pin-ms)|kv-from|api-keys|rate-per-s|path-prefix|traffic-split|retains-context|TULIPWHEEL_NODE_FILE/i;

function filesOf(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") || name.endsWith(".mjs"))
    .map((name) => join(folder, name));
}

describe("names of the platform", () => {
  it("do not occur outside the adapter and the stand-in", () => {
    const found = FOLDERS.flatMap(filesOf).filter((file) => PLATFORM_NAMES.test(readFileSync(file, "utf8")));
    expect(found).toEqual([]);
  });

  it("are found in the adapter by the same check", () => {
    const found = filesOf("platform").filter((file) => PLATFORM_NAMES.test(readFileSync(file, "utf8")));
    expect(found.length).toBeGreaterThan(2);
  });
});
