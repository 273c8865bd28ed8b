/** The template that the platform fills in becomes valid settings. */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";
import { gatewaySettingsSchema } from "../../src/gateway/gateway-settings.ts";
import { parseYaml } from "../../src/settings/parse-yaml.ts";

const TEMPLATE = readFileSync("deploy/settings.yaml", "utf8");
const ADDRESS = "10.1.0.38:8149";
const VALUES: Record<string, string> = {
  "node-name": "front-hall-a-1",
  region: "dixie-east",
  zone: "hall-a",
  "listen.front": ADDRESS,
  "listen.ready": ADDRESS,
  "listen.directory": ADDRESS,
  "listen.control": ADDRESS,
  "seeds|json": `["${ADDRESS}"]`,
  "platform.address": ADDRESS,
  "bounds.drain-ms": "4000",
};

describe("settings template", () => {
  it("becomes valid settings with the platform's values", () => {
    const filled = TEMPLATE.replace(/\{\{([^{}]*)\}\}/g, (_, name: string) => VALUES[name] ?? `no ${name}`);
    const [parsed] = parseYaml(filled, "settings", gatewaySettingsSchema, "invalid-settings");
    expect(parsed?.value.seeds).toEqual([ADDRESS]);
    expect(parsed?.value.timing.runnerDrainMs).toEqual(4_000);
    expect(parsed?.value.name).toEqual("front-hall-a-1");
  });
});
