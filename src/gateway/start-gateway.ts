import { pino } from "pino";
import { SystemClock } from "../runtime/clock.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash } from "../runtime/text-hash.ts";
import type { GatewayPlatform } from "./gateway-context.ts";
import { GatewayDaemon } from "./gateway-daemon.ts";
import type { GatewayMessage } from "./gateway-messages.ts";
import type { GatewaySettings } from "./gateway-settings.ts";

const INSTANCE_TOKEN_LENGTH = 8;
const STANDARD_OUTPUT = 1;

/** Starts a gateway in this process, on the real clock and network. */
export async function startGateway(
  settings: GatewaySettings,
  platform: GatewayPlatform,
): Promise<GatewayDaemon> {
  const random = systemRandom();
  const instance = `${settings.name}#${random.token(INSTANCE_TOKEN_LENGTH)}`;
  const destination = pino.destination({ fd: STANDARD_OUTPUT, sync: false });
  const log = pino({ level: settings.logging.level, base: { node: settings.name } }, destination);
  const address = settings.listen.peers;
  const transport = await TcpTransport.listen<GatewayMessage>({ instance, address });
  const hash = await loadTextHash();
  const clock = new SystemClock();
  const daemon = new GatewayDaemon({ settings, instance, clock, random, hash, log, platform }, transport);
  await daemon.start();
  log.info({ instance, address }, "gateway started");
  return daemon;
}
