import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";
import { stringify } from "yaml";
import { ERROR_KINDS } from "../../src/errors/error-kinds.ts";
import { problemOf } from "../../src/errors/tulipwheel-error.ts";
import { loadSettings, parseOverride } from "../../src/settings/load-settings.ts";
import { nodeSettingsSchema } from "../../src/settings/node-settings.ts";
import { parseYaml } from "../../src/settings/parse-yaml.ts";
import { resolvePolicy } from "../../src/settings/templates/resolve-policy.ts";
import {
  configurationDocumentSchema,
  type TemplateDocument,
  type TenantDocument,
} from "../../src/settings/templates/template-schema.ts";

function parse(text: string) {
  return parseYaml(text, "t.yaml", configurationDocumentSchema, "invalid-template").map(({ value }) => value);
}

describe("templates", () => {
  const INVALID_DOCUMENTS: [string, string, RegExp][] = [
    ["an unknown key", "kind: template\nname: a\nbuget: 1\n", /t\.yaml:1: document: .*buget/],
    [
      "an unknown priority class",
      "kind: template\nname: a\npriorityClass: urgent\n",
      /t\.yaml:3: priorityClass: /,
    ],
    ["a name with capitals", "kind: template\nname: PayRun\n", /t\.yaml:2: name: must be lower-case/],
    ["a negative budget", "kind: template\nname: a\nbudget:\n  tokens: -1\n", /t\.yaml:4: budget\.tokens: /],
    [
      "a malformed pattern of repeatable calls",
      "kind: template\nname: a\nservices:\n  x:\n    repeatable: [get]\n",
      /t\.yaml:5: services\.x\.repeatable\.0/,
    ],
    ["broken YAML", "kind: [\n", /t\.yaml:\d+: /],
    ["an unknown kind", "kind: tulip\n", /t\.yaml:1: kind: /],
    ["an empty file", "", /t\.yaml: is empty/],
    [
      "an error in the second document",
      "kind: template\nname: a\n---\nkind: template\nname: B\n",
      /t\.yaml:5: name: /,
    ],
  ];
  for (const [name, text, message] of INVALID_DOCUMENTS) {
    it(`are rejected for ${name}, with the line and the remedy`, () => {
      expect(() => parse(text)).toThrow(message);
      expect(() => parse(text)).toThrow(/Correct the lines/);
    });
  }

  it("override the template's defaults with a tenant's parameters", () => {
    const [template, tenant] = parse(
      "kind: template\nname: a\nmodels: [m]\nlimits: { turns: 5, depth: 2 }\n---\n" +
        "kind: tenant\ntemplate: a\ntenant: t\nlimits: { turns: 9 }\nbudget: { tokens: 7 }\n",
    );
    const policy = resolvePolicy(template as TemplateDocument, tenant as TenantDocument);
    expect(policy.models).toEqual(["m"]);
    expect([policy.limits.turns, policy.limits.depth, policy.limits.historyTokens]).toEqual([9, 2, 440_000]);
    expect(policy.budget).toEqual({ tokens: 7, window: "day" });
  });

  for (const file of ["examples/magnolia/templates.yaml", "examples/rateora/templates.yaml"]) {
    it(`are valid in ${file}`, async () => {
      expect(parse(await readFile(file, "utf8")).length).toEqual(4);
    });
  }
});

describe("settings", () => {
  const ADDRESSES = ["address=127.0.0.1:1", "callers=127.0.0.1:4", "metrics=127.0.0.1:2"];
  const NODE = ["name=a", "region=r", "zone=z", ...ADDRESSES];
  const PLATFORM = ["table", "objects", "machineList"].map((name) => `platform.${name}=127.0.0.1:3`);

  it("apply overrides and fill in defaults", async () => {
    const flags = [...NODE, ...PLATFORM, "cluster.shards=4"].map(parseOverride);
    const settings = await loadSettings(undefined, flags, nodeSettingsSchema);
    expect([settings.cluster.shards, settings.cluster.replicas]).toEqual([4, 5]);
  });

  const INVALID_SETTINGS: [string, string[], RegExp][] = [
    ["an unknown key", [...NODE, ...PLATFORM, "colour=1"], /colour/],
    [
      "a host name instead of an IP address",
      [...NODE, ...PLATFORM, "address=localhost:1"],
      /must be an IP address/,
    ],
    ["a missing setting", NODE, /platform/],
    [
      "no address for callers",
      [...NODE, ...PLATFORM].filter((flag) => !flag.startsWith("callers")),
      /callers/,
    ],
  ];
  for (const [name, flags, message] of INVALID_SETTINGS) {
    it(`are rejected with ${name}`, async () => {
      await expect(loadSettings(undefined, flags.map(parseOverride), nodeSettingsSchema)).toBeRejectedWith(
        message,
      );
    });
  }

  it("can be written as JSON or YAML, and errors name the line in both formats", async () => {
    const folder = await mkdtemp(join(tmpdir(), "tulipwheel-settings-"));
    const file = join(folder, "settings.json");
    const node = await loadSettings(undefined, [...NODE, ...PLATFORM].map(parseOverride), nodeSettingsSchema);
    await writeFile(file, JSON.stringify(node, undefined, 2));
    expect(await loadSettings(file, [], nodeSettingsSchema)).toEqual(node);
    await writeFile(file, JSON.stringify({ colour: 1, ...node }, undefined, 2));
    await expect(loadSettings(file, [], nodeSettingsSchema)).toBeRejectedWith(/settings\.json:\d+: .*colour/);
    await writeFile(file, '{ "name": ');
    await expect(loadSettings(file, [], nodeSettingsSchema)).toBeRejectedWith(/settings\.json:1: /);
    await rm(folder, { recursive: true });
  });

  it("ignore only unknown keys, such as those of newer builds, if the caller of loadSettings allows it", async () => {
    const folder = await mkdtemp(join(tmpdir(), "tulipwheel-settings-"));
    const node = await loadSettings(undefined, [...NODE, ...PLATFORM].map(parseOverride), nodeSettingsSchema);
    const newer = { ...node, colour: 1, cluster: { ...node.cluster, shade: 2 } };
    for (const [name, text] of [
      ["settings.json", JSON.stringify(newer)],
      ["settings.yaml", stringify(newer)],
    ] as const) {
      const file = join(folder, name);
      const unknown: string[] = [];
      const read = () => loadSettings(file, [], nodeSettingsSchema, (keys) => unknown.push(...keys));
      await writeFile(file, text);
      expect(await read()).toEqual(node);
      expect(unknown.sort()).toEqual(["cluster.shade", "colour"]);
      await writeFile(file, text.replace("platform", "platforms"));
      await expect(read()).toBeRejectedWith(/platform/);
    }
    await rm(folder, { recursive: true });
  });

  it("name the file that cannot be read", async () => {
    await expect(loadSettings("none.yaml", [], nodeSettingsSchema)).toBeRejectedWith(
      /none\.yaml: cannot be read/,
    );
  });

  for (const deployment of ["magnolia", "rateora"]) {
    it(`of ${deployment} are valid`, async () => {
      await loadSettings(`examples/${deployment}/node.yaml`, [], nodeSettingsSchema);
    });
  }
});

describe("errors", () => {
  it("are all listed in docs/ERRORS.md with status, outcome, title and remedy", async () => {
    const page = await readFile("docs/ERRORS.md", "utf8");
    const lines = Object.entries(ERROR_KINDS).map(
      ([kind, { title, status, outcome, remedy }]) =>
        `| \`${kind}\` | ${status} | ${outcome} | ${title} | ${remedy} |`,
    );
    expect(lines.filter((line) => !page.includes(line))).toEqual([]);
  });

  it("have the outcome of their kind unless it is overridden", () => {
    expect(problemOf("overloaded", "x").outcome).toEqual("not-run");
    expect(problemOf("overloaded", "x", { outcome: "failed" }).outcome).toEqual("failed");
  });
});
