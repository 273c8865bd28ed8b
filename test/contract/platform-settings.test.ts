/** Checks that the settings template yields valid settings once the platform has filled it in. */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";
import { gatewaySettingsSchema } from "../../src/gateway/gateway-settings.ts";
import { parseYaml } from "../../src/settings/parse-yaml.ts";

const TEMPLATE = readFileSync("deploy/settings.json", "utf8");
const ADDRESS = "10.1.0.38:8149";
const PLATFORM_VALUES: Record<string, string> = {
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
  /** Renders the template's variables, its sections and its inverted sections, which appear only if a value is missing. */
  function fill(values: Record<string, string | undefined>): string {
    const rendered = TEMPLATE.replace(
      /\{\{\^([^{}]*)\}\}(.*?)\{\{\/\1\}\}/g,
      (_, name: string, otherwise: string) => (values[name] === undefined ? otherwise : ""),
    ).replace(/\{\{#([^{}]*)\}\}(.*?)\{\{\/\1\}\}/g, (_, name: string, part: string) => {
      return values[name] === undefined || values[name] === "false" ? "" : part;
    });
    return rendered.replace(/\{\{([^{}]*)\}\}/g, (_, name: string) => {
      return name in values ? (values[name] ?? "") : `no ${name}`;
    });
  }

  /** The settings that a gateway reads from the rendered template. */
  function parseSettings(values: Record<string, string | undefined>) {
    const [parsed] = parseYaml(fill(values), "settings", gatewaySettingsSchema, "invalid-settings");
    return parsed?.value;
  }

  it("yields valid settings with the platform's values", () => {
    const settings = parseSettings(PLATFORM_VALUES);
    expect(settings?.seeds).toEqual([ADDRESS]);
    expect(settings?.name).toEqual("front-hall-a-1");
  });

  it("yields JSON, which a gateway reads faster than YAML, whichever values the platform omits", () => {
    const limits = {
      "bounds.quota-window-s": "5",
      "bounds.quota-overage": "0.1",
      "bounds.quota-slack": "20",
    };
    const keys = { "bounds.fail-closed": "true", "bounds.revoke-ms": "5000" };
    for (const more of [{}, limits, keys, { ...limits, ...keys }])
      expect((JSON.parse(fill({ ...PLATFORM_VALUES, ...more })) as { name: string }).name).toEqual(
        "front-hall-a-1",
      );
  });

  it("limits the time that keys are trusted only if the platform wants uncertain keys refused", () => {
    for (const [failClosed, expected] of [
      ["true", 5_000],
      ["false", undefined],
      [undefined, undefined],
    ] as const) {
      expect(
        parseSettings({ ...PLATFORM_VALUES, "bounds.fail-closed": failClosed, "bounds.revoke-ms": "5000" })
          ?.keys.revokeMs,
      ).toEqual(expected);
    }
  });

  it("takes the memory of a process from the platform, with a default", () => {
    for (const [given, expected] of [
      ["178", 178],
      [undefined, 256],
    ] as const) {
      expect(parseSettings({ ...PLATFORM_VALUES, "limits.memory-mb": given })?.buffers.memoryMb).toEqual(
        expected,
      );
    }
  });

  it("takes the drain time of runners from the platform, with a default", () => {
    for (const [given, expected] of [
      ["4000", 4_000],
      [undefined, 1_500],
    ] as const) {
      expect(parseSettings({ ...PLATFORM_VALUES, "bounds.drain-ms": given })?.timing.runnerDrainMs).toEqual(
        expected,
      );
    }
  });

  it("takes the time for a planned stop from the platform, with a default", () => {
    for (const [given, expected] of [
      ["7.5", 7.5],
      [undefined, 8],
    ] as const) {
      expect(parseSettings({ ...PLATFORM_VALUES, "bounds.grace-s": given })?.timing.graceS).toEqual(expected);
    }
  });

  it("takes the time until a configuration is in force from the platform, with a default", () => {
    for (const [given, expected] of [
      ["4000", 4_000],
      [undefined, 2_000],
    ] as const) {
      expect(
        parseSettings({ ...PLATFORM_VALUES, "bounds.config-apply-ms": given })?.timing.configurationMs,
      ).toEqual(expected);
    }
  });
});
