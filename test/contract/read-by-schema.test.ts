/** Compares settings read with the JSON Schema that the build generates with those that zod parses. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { expect } from "earl";
import * as z from "zod";
import { gatewaySettingsSchema } from "../../src/gateway/gateway-settings.ts";
import { loadGatewaySettings } from "../../src/gateway/load-gateway-settings.ts";
import { type JsonSchema, readBySchema } from "../../src/settings/read-by-schema.ts";

const SCHEMA = z.toJSONSchema(gatewaySettingsSchema, { io: "input" }) as JsonSchema;
const ADDRESS = "10.1.0.38:8149";
const LISTEN = { callers: ADDRESS, readiness: ADDRESS, directory: ADDRESS, peers: ADDRESS };
const MINIMAL_SETTINGS = { name: "one", region: "r", zone: "z", listen: LISTEN, store: ADDRESS };

const VALID: readonly object[] = [
  MINIMAL_SETTINGS,
  {
    ...MINIMAL_SETTINGS,
    seeds: [ADDRESS],
    timing: { claimMs: 50, directoryTtlS: 0.5 },
    logging: { level: "debug" },
  },
  {
    ...MINIMAL_SETTINGS,
    keys: { revokeMs: 5_000 },
    requestLimits: { overage: 0.1, slack: 20 },
    balance: { byHeadroom: true },
  },
];
const INVALID: readonly unknown[] = [
  null,
  [],
  { ...MINIMAL_SETTINGS, name: undefined },
  { ...MINIMAL_SETTINGS, name: "No Name" },
  { ...MINIMAL_SETTINGS, colour: "red" },
  { ...MINIMAL_SETTINGS, constructor: 1 },
  { ...MINIMAL_SETTINGS, seeds: ["nowhere"] },
  { ...MINIMAL_SETTINGS, seeds: null },
  { ...MINIMAL_SETTINGS, partitions: 0 },
  { ...MINIMAL_SETTINGS, partitions: 1.5 },
  { ...MINIMAL_SETTINGS, partitions: "64" },
  { ...MINIMAL_SETTINGS, timing: { directoryTtlS: Number.POSITIVE_INFINITY } },
  { ...MINIMAL_SETTINGS, logging: { level: "loud" } },
  { ...MINIMAL_SETTINGS, balance: { byHeadroom: "yes" } },
];

const folder = mkdtempSync(join(tmpdir(), "tulipwheel-settings-"));
const file = join(folder, "settings.json");

describe("settings read with the build's schema", () => {
  after(() => rmSync(folder, { recursive: true }));

  it("equal the settings that zod parses, including defaults", () => {
    for (const value of VALID)
      expect(readBySchema(value, SCHEMA) as object).toEqual(gatewaySettingsSchema.parse(value) as object);
  });

  it("are not read if zod rejects them", () => {
    for (const value of INVALID) {
      expect(gatewaySettingsSchema.safeParse(value).success).toEqual(false);
      expect(readBySchema(value, SCHEMA)).toEqual(undefined);
    }
  });

  it("are not read with a schema that has unknown keywords", () => {
    const schema = { ...SCHEMA, minProperties: 1 } as JsonSchema;
    expect(readBySchema(MINIMAL_SETTINGS, schema)).toEqual(undefined);
  });

  it("produce zod's error messages if invalid, and may be YAML", async () => {
    writeFileSync(file, JSON.stringify({ ...MINIMAL_SETTINGS, colour: "red" }));
    await expect(loadGatewaySettings(file, SCHEMA)).toBeRejectedWith(/settings\.json:1: .*colour/);
    writeFileSync(
      file,
      `name: one\nregion: r\nzone: z\nstore: ${ADDRESS}\nlisten: ${JSON.stringify(LISTEN)}\n`,
    );
    expect(await loadGatewaySettings(file, SCHEMA)).toEqual(gatewaySettingsSchema.parse(MINIMAL_SETTINGS));
  });
});
