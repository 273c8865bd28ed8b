import { HttpEngineClient } from "../ports/engine/http-engine-client.ts";
import { HttpJsonClient, HttpPools } from "../ports/http-json.ts";
import { HttpMachineList } from "../ports/machine-list/http-machine-list.ts";
import { HttpObjectStore } from "../ports/objects/http-object-store.ts";
import { HttpServiceClient } from "../ports/service/http-service-client.ts";
import { HttpTableStore } from "../ports/table/http-table-store.ts";
import { SystemClock } from "../runtime/clock.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash } from "../runtime/text-hash.ts";
import type { NodeSettings } from "../settings/node-settings.ts";
import { createLogger } from "../telemetry/create-logger.ts";
import { MetricsServer } from "../telemetry/metrics-server.ts";
import { IngressServer } from "./ingress/ingress-server.ts";
import { NodeDaemon } from "./node-daemon.ts";
import { nodeMetrics } from "./node-metrics.ts";

const INSTANCE_TOKEN_LENGTH = 8;

/** A node that is running in this process. */
export interface RunningNode {
  readonly daemon: NodeDaemon;
  readonly address: string;
  /** The address at which callers reach the node. */
  readonly callersAddress: string;
  readonly metricsAddress: string;
  /** Performs a planned stop. Resolves when the node has left. */
  drain(): Promise<void>;
  /** Stops immediately, as if the process had been killed. */
  kill(): Promise<void>;
}

/** Starts a node in this process, on the real clock and network. */
export async function startNode(settings: NodeSettings): Promise<RunningNode> {
  const random = systemRandom();
  const instance = `${settings.name}#${random.token(INSTANCE_TOKEN_LENGTH)}`;
  const transport = await TcpTransport.listen({ instance, address: settings.address });
  const { address } = transport.self;
  const log = createLogger(settings.name, settings.logging.level);
  const pools = new HttpPools();
  const json = new HttpJsonClient(pools);
  const daemon = new NodeDaemon(
    {
      self: { instance, address, zone: settings.zone },
      settings,
      clock: new SystemClock(),
      random,
      hash: await loadTextHash(),
      transport,
      log,
    },
    {
      table: new HttpTableStore(json, settings.platform.table),
      objects: new HttpObjectStore(pools, settings.platform.objects),
      machineList: new HttpMachineList(json, settings.platform.machineList),
      engine: new HttpEngineClient(pools, json),
      service: new HttpServiceClient(pools),
    },
  );
  const ingress = new IngressServer(daemon.ingress, settings.ingress, daemon);
  const callersAddress = await ingress.listen(settings.callers);
  const metrics = new MetricsServer(nodeMetrics(daemon, ingress, transport), () => daemon.ready);
  const metricsAddress = await metrics.listen(settings.metrics);
  daemon.start(callersAddress);
  log.info({ instance, address, callers: callersAddress, metrics: metricsAddress }, "node started");
  const close = async () => {
    metrics.close();
    await pools.close();
  };
  const drain = async () => {
    await daemon.announceLeaving();
    // Callers' requests in progress need the node's connections to the leaders of their programs' shards.
    await ingress.drain();
    await daemon.drain();
    await close();
  };
  return {
    daemon,
    address,
    callersAddress,
    metricsAddress,
    drain,
    kill: async () => {
      daemon.halt();
      ingress.close();
      await transport.close();
      await close();
    },
  };
}
