/** Runs a gateway process: reads its settings, starts it and handles its signals. */
import { TulipwheelError } from "../errors/tulipwheel-error.ts";
import type { JsonSchema } from "../settings/read-by-schema.ts";
import type { GatewayPlatform } from "./gateway-context.ts";
import type { GatewayDaemon } from "./gateway-daemon.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import { loadGatewaySettings } from "./load-gateway-settings.ts";
import { startGateway } from "./start-gateway.ts";

const INVALID_SETTINGS_EXIT_CODE = 2;
/** Inserted by the build; not defined when running from source. */
declare const SETTINGS_SCHEMA: JsonSchema | undefined;
const builtSchema = typeof SETTINGS_SCHEMA === "undefined" ? undefined : SETTINGS_SCHEMA;

/**
 * Runs a gateway until it is told to stop. SIGTERM starts a planned stop; SIGHUP reads the settings again and applies
 * their seeds. If the settings are invalid, the process exits with code 2 and a message that names the line and the
 * remedy.
 *
 * @param createPlatform creates the adapters to the platform that the gateway runs on
 */
export async function runGateway(
  settingsFile: string | undefined,
  createPlatform: (settings: GatewaySettings) => GatewayPlatform,
): Promise<void> {
  const starting = start(settingsFile, createPlatform);
  // Signals may come while the process starts, when they would end it if nothing handled them.
  process.on("SIGTERM", () => void starting.then((gateway) => gateway.stop()).then(() => process.exit(0)));
  process.on("SIGHUP", () => void starting.then((gateway) => reload(gateway, settingsFile)));
  try {
    const gateway = await starting;
    process.on("unhandledRejection", (reason) => gateway.logUnexpectedError(reason));
  } catch (error) {
    if (!(error instanceof TulipwheelError)) throw error;
    process.stderr.write(`${(error as Error).message}\n`);
    process.exit(INVALID_SETTINGS_EXIT_CODE);
  }
}

async function start(
  settingsFile: string | undefined,
  createPlatform: (settings: GatewaySettings) => GatewayPlatform,
): Promise<GatewayDaemon> {
  const settings = await readSettings(settingsFile);
  return startGateway(settings, createPlatform(settings));
}

async function reload(gateway: GatewayDaemon, settingsFile: string | undefined): Promise<void> {
  try {
    gateway.reload(await readSettings(settingsFile));
  } catch (error) {
    gateway.logUnexpectedError(error);
  }
}

/** Reads the settings file. Keys of a newer build that this one does not know are ignored with a message. */
function readSettings(settingsFile: string | undefined): Promise<GatewaySettings> {
  return loadGatewaySettings(settingsFile, builtSchema, (keys) => {
    process.stderr.write(
      `${settingsFile}: keys that this build does not know are ignored: ${keys.join(", ")}\n`,
    );
  });
}
