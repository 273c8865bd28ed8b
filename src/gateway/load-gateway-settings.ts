/**
 * Reads a gateway's settings. Valid ones in JSON are read by a schema that the build has made of the settings' own; the
 * libraries that say what is wrong with others, and read YAML, take a tenth of a start to load, so only those wait for them.
 */
import { readFileSync } from "node:fs";
import { type JsonSchema, readBySchema } from "../settings/read-by-schema.ts";
import type { GatewaySettings } from "./gateway-settings.ts";

/**
 * @param schema what the build has made of the settings' schema; undefined where nothing was built
 * @param onUnknown told of keys that are passed over because the settings do not have them; without it they are errors
 */
export async function loadGatewaySettings(
  file: string | undefined,
  schema: JsonSchema | undefined,
  onUnknown?: (keys: readonly string[]) => void,
): Promise<GatewaySettings> {
  const parsed = file !== undefined && schema ? readValidJson(file, schema) : undefined;
  if (parsed) return parsed as GatewaySettings;
  const { loadSettings } = await import("../settings/load-settings.ts");
  const { gatewaySettingsSchema } = await import("./gateway-settings.ts");
  return loadSettings(file, [], gatewaySettingsSchema, onUnknown);
}

/** Undefined for whatever is not valid JSON of the schema, or can't be read. */
function readValidJson(file: string, schema: JsonSchema): unknown {
  try {
    return readBySchema(JSON.parse(readFileSync(file, "utf8")), schema);
  } catch {
    return undefined;
  }
}
