import { repeat, SystemClock } from "../runtime/clock.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash } from "../runtime/text-hash.ts";
import type { SidecarSettings } from "../settings/sidecar-settings.ts";
import { createLogger } from "../telemetry/create-logger.ts";
import { ProcessMetrics } from "../telemetry/metrics.ts";
import { SidecarServer } from "./http/sidecar-server.ts";
import { SidecarCore } from "./sidecar-core.ts";

const INSTANCE_TOKEN_LENGTH = 8;
const CLUSTER_REFRESH_MS = 2_000;

/** A sidecar that is running in this process. */
export interface RunningSidecar {
  readonly core: SidecarCore;
  /** Where callers reach it. */
  readonly address: string;
  /** A planned stop: resolves when every request in progress has ended. */
  drain(): Promise<void>;
}

/** Starts a sidecar in this process, on the real clock and network. */
export async function startSidecar(settings: SidecarSettings): Promise<RunningSidecar> {
  const random = systemRandom();
  const clock = new SystemClock();
  const instance = `${settings.name}#${random.token(INSTANCE_TOKEN_LENGTH)}`;
  const transport = await TcpTransport.listen({ instance, address: settings.address });
  const core = new SidecarCore({ settings, clock, random, hash: await loadTextHash(), transport });
  const metrics: ProcessMetrics = new ProcessMetrics([
    { type: "gauge", name: "active_calls", help: "Calls in progress", read: () => core.activeCalls },
    {
      type: "gauge",
      name: "active_requests",
      help: "HTTP requests in progress",
      read: () => server.activeRequests,
    },
  ]);
  const server: SidecarServer = new SidecarServer(core, settings, metrics);
  const address = await server.listen();
  await core.refreshCluster();
  const stopRefreshing = repeat(clock, CLUSTER_REFRESH_MS, () => void core.refreshCluster());
  const log = createLogger(settings.name, settings.logging.level);
  log.info({ instance, address }, "sidecar started");
  return {
    core,
    address,
    drain: async () => {
      log.info({ activeRequests: server.activeRequests }, "drains");
      await server.drain();
      stopRefreshing();
      await transport.close();
      log.info("drained");
    },
  };
}
