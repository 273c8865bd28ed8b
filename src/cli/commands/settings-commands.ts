import { Command, Option } from "clipanion";
import { stringify } from "yaml";
import { z } from "zod";
import { configurationError } from "../../errors/tulipwheel-error.ts";
import { gatewaySettingsSchema } from "../../gateway/gateway-settings.ts";
import { loadSettings, parseOverride } from "../../settings/load-settings.ts";
import { nodeSettingsSchema } from "../../settings/node-settings.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable } from "../format-table.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";

const CATEGORY = "Settings";
const SCHEMAS: Record<string, z.ZodObject> = {
  gateway: gatewaySettingsSchema,
  node: nodeSettingsSchema,
};

function schemaOf(daemon: string): z.ZodObject {
  const schema = SCHEMAS[daemon];
  if (schema) return schema;
  throw configurationError(
    "invalid-settings",
    `"${daemon}" is not one of ${Object.keys(SCHEMAS).join(", ")}.`,
  );
}

/** `tulipwheel settings check` */
export class SettingsCheckCommand extends TulipwheelCommand {
  static override paths = [["settings", "check"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Checks a settings file and prints the settings in full",
  });
  daemon = Option.String({ name: "DAEMON" });
  file = Option.String({ name: "FILE" });
  set = Option.Array("--set", [], { description: "Overrides one setting: a.b.c=value" });

  protected override async run(): Promise<number> {
    const settings = await loadSettings(this.file, this.set.map(parseOverride), schemaOf(this.daemon));
    this.print(settings, stringify(settings));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel settings show` */
export class SettingsShowCommand extends TulipwheelCommand {
  static override paths = [["settings", "show"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Lists every setting of a daemon with its default and unit",
  });
  daemon = Option.String({ name: "DAEMON" });

  protected override async run(): Promise<number> {
    const rows = listSettings(z.toJSONSchema(schemaOf(this.daemon), { io: "input" }) as SchemaNode, []);
    this.print(
      rows.map(([key, defaultValue, description]) => ({ key, default: defaultValue, description })),
      formatTable(["KEY", "DEFAULT", "DESCRIPTION"], rows),
    );
    return EXIT_CODES.done;
  }
}

interface SchemaNode {
  readonly properties?: Record<string, SchemaNode>;
  /** Names of the required properties. */
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly description?: string;
}

function listSettings(node: SchemaNode, path: readonly string[]): string[][] {
  return Object.entries(node.properties ?? {}).flatMap(([key, child]) => {
    const childPath = [...path, key];
    if (child.properties) return listSettings(child, childPath);
    return [[childPath.join("."), defaultText(key, child, node), child.description ?? ""]];
  });
}

/** Describes the value of a setting that is not given. */
function defaultText(key: string, child: SchemaNode, parent: SchemaNode): string {
  if (child.default !== undefined) return JSON.stringify(child.default);
  return parent.required?.includes(key) ? "(required)" : "(none)";
}
