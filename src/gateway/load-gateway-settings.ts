/**
 * Reads a gateway's settings. Valid settings in JSON are read with a JSON Schema that the build generates from the settings
 * schema. The libraries that report errors and parse YAML take a tenth of the start-up time to load, so they are imported
 * only for other settings files.
 */
import { readFileSync } from "node:fs";
import { type JsonSchema, readBySchema } from "../settings/read-by-schema.ts";
import type { GatewaySettings } from "./gateway-settings.ts";

/**
 * @param schema the JSON Schema that the build has generated; undefined when running from source
 * @param onUnknown called with the unknown keys, which are then ignored; if omitted, unknown keys are errors
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

/** Returns undefined if the file can't be read or is not JSON that is valid by the schema. */
function readValidJson(file: string, schema: JsonSchema): unknown {
  try {
    return readBySchema(JSON.parse(readFileSync(file, "utf8")), schema);
  } catch {
    return undefined;
  }
}
