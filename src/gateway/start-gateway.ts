import { pino } from "pino";
import { SystemClock } from "../runtime/clock.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash } from "../runtime/text-hash.ts";
import type { GatewayPlatform } from "./gateway-context.ts";
import { GatewayDaemon } from "./gateway-daemon.ts";
import type { GatewayMessage } from "./gateway-messages.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import type { GatewayMetrics } from "./telemetry/gateway-metrics.ts";
import { NoMetrics } from "./telemetry/no-metrics.ts";

const INSTANCE_TOKEN_LENGTH = 8;
const STANDARD_OUTPUT = 1;
/** Lines are written together, so many bytes or after so long at the latest. */
const LOG_BATCH_BYTES = 4_096;
const LOG_FLUSH_MS = 250;
/** Bytes that may wait for a reader of standard output that stalls; what comes beyond is dropped. */
const LOG_MAX_BYTES = 4 * 1024 * 1024;

/** Starts a gateway in this process, on the real clock and network. */
export async function startGateway(
  settings: GatewaySettings,
  platform: GatewayPlatform,
): Promise<GatewayDaemon> {
  const random = systemRandom();
  const instance = `${settings.name}#${random.token(INSTANCE_TOKEN_LENGTH)}`;
  const destination = pino.destination({
    fd: STANDARD_OUTPUT,
    sync: false,
    minLength: LOG_BATCH_BYTES,
    maxLength: LOG_MAX_BYTES,
  });
  setInterval(() => destination.flush(), LOG_FLUSH_MS).unref();
  const log = pino({ level: settings.logging.level, base: { node: settings.name } }, destination);
  const address = settings.listen.peers;
  const transport = await TcpTransport.listen<GatewayMessage>({ instance, address });
  const hash = await loadTextHash();
  const clock = new SystemClock();
  const metrics = await metricsFor(settings);
  const context = { settings, instance, clock, random, hash, log, metrics, platform };
  const daemon = new GatewayDaemon(context, transport);
  await daemon.start();
  log.info({ instance, address }, "gateway started");
  return daemon;
}

/** The library is loaded only where metrics are served: it costs a starting process a tenth of its time. */
async function metricsFor({ listen }: GatewaySettings): Promise<GatewayMetrics> {
  if (listen.metrics === undefined) return new NoMetrics();
  const { PrometheusMetrics } = await import("./telemetry/prometheus-metrics.ts");
  return new PrometheusMetrics(listen.metrics);
}
