/** The life of a gateway's process: settings, start, signals, end. */
import { TulipwheelError } from "../errors/tulipwheel-error.ts";
import type { JsonSchema } from "../settings/read-by-schema.ts";
import type { GatewayPlatform } from "./gateway-context.ts";
import type { GatewayDaemon } from "./gateway-daemon.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import { loadGatewaySettings } from "./load-gateway-settings.ts";
import { startGateway } from "./start-gateway.ts";

const INVALID_SETTINGS_EXIT_CODE = 2;
/** Put here by the build; not defined where nothing is built. */
declare const SETTINGS_SCHEMA: JsonSchema | undefined;
const builtSchema = typeof SETTINGS_SCHEMA === "undefined" ? undefined : SETTINGS_SCHEMA;

/**
 * Runs a gateway until it is told to stop. SIGTERM is a planned stop; SIGHUP reads the settings again and takes the
 * seeds from them. Settings that are not valid end the process with code 2 and a message that names line and remedy.
 *
 * @param createPlatform how the platform around the gateway speaks
 */
export async function runGateway(
  settingsFile: string | undefined,
  createPlatform: (settings: GatewaySettings) => GatewayPlatform,
): Promise<void> {
  try {
    const settings = await readSettings(settingsFile);
    const gateway = await startGateway(settings, createPlatform(settings));
    process.on("SIGTERM", () => void gateway.stop().then(() => process.exit(0)));
    process.on("SIGHUP", () => void reload(gateway, settingsFile));
    process.on("unhandledRejection", (reason) => gateway.logUnexpectedError(reason));
  } catch (error) {
    if (!(error instanceof TulipwheelError)) throw error;
    process.stderr.write(`${(error as Error).message}\n`);
    process.exit(INVALID_SETTINGS_EXIT_CODE);
  }
}

async function reload(gateway: GatewayDaemon, settingsFile: string | undefined): Promise<void> {
  try {
    gateway.reload(await readSettings(settingsFile));
  } catch (error) {
    gateway.logUnexpectedError(error);
  }
}

/** A file that was laid out for a newer build may have keys that this one does not know: it goes on without them. */
function readSettings(settingsFile: string | undefined): Promise<GatewaySettings> {
  return loadGatewaySettings(settingsFile, builtSchema, (keys) => {
    process.stderr.write(
      `${settingsFile}: keys that this build does not know are passed over: ${keys.join(", ")}\n`,
    );
  });
}
