import { pino } from "pino";
import { SystemClock } from "../runtime/clock.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash } from "../runtime/text-hash.ts";
import type { GatewayPlatform } from "./gateway-context.ts";
import { GatewayDaemon } from "./gateway-daemon.ts";
import type { GatewayMessage } from "./gateway-messages.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import { connectionLimitsOf, OTHERS_SHARE } from "./ingress/connection-limits.ts";
import type { GatewayMetrics } from "./telemetry/gateway-metrics.ts";
import { LogSink } from "./telemetry/log-sink.ts";
import { NoMetrics } from "./telemetry/no-metrics.ts";

const INSTANCE_TOKEN_LENGTH = 8;
const STDOUT_DESCRIPTOR = 1;

/** Starts a gateway in this process with the real clock and network. */
export async function startGateway(
  settings: GatewaySettings,
  platform: GatewayPlatform,
): Promise<GatewayDaemon> {
  const random = systemRandom();
  const instance = `${settings.name}#${random.token(INSTANCE_TOKEN_LENGTH)}`;
  const sink = new LogSink(STDOUT_DESCRIPTOR);
  const log = pino({ level: settings.logging.level, base: { node: settings.name } }, sink);
  const address = settings.listen.peers;
  const transport = await TcpTransport.listen<GatewayMessage>(
    { instance, address },
    connectionLimitsOf(settings, OTHERS_SHARE),
  );
  const hash = await loadTextHash();
  const clock = new SystemClock();
  const metrics = await createMetrics(settings);
  const context = { settings, instance, clock, random, hash, log, metrics, platform };
  const daemon = new GatewayDaemon(context, transport);
  await daemon.start();
  log.info({ instance, address }, "gateway started");
  return daemon;
}

/** Imports the metrics library only if metrics are served: loading it takes a tenth of the start-up time. */
async function createMetrics(settings: GatewaySettings): Promise<GatewayMetrics> {
  const { listen } = settings;
  if (listen.metrics === undefined) return new NoMetrics();
  const { PrometheusMetrics } = await import("./telemetry/prometheus-metrics.ts");
  return new PrometheusMetrics(listen.metrics, connectionLimitsOf(settings, OTHERS_SHARE));
}
