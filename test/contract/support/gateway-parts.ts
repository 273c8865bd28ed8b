/** Creates the context of a gateway for tests of its components, with a client of a stand-in for the platform's store. */
import { pino } from "pino";
import { callProtocol } from "../../../platform/call-headers.ts";
import { entryProtocol } from "../../../platform/entry-protocol.ts";
import { HttpRowStore } from "../../../platform/http-row-store.ts";
import { platformRecords } from "../../../platform/platform-records.ts";
import type { GatewayContext } from "../../../src/gateway/gateway-context.ts";
import { gatewaySettingsSchema } from "../../../src/gateway/gateway-settings.ts";
import { NoMetrics } from "../../../src/gateway/telemetry/no-metrics.ts";
import { openPool } from "../../../src/ports/http/connection-pool.ts";
import { SystemClock } from "../../../src/runtime/clock.ts";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import { loadTextHash } from "../../../src/runtime/text-hash.ts";

const UNUSED_ADDRESS = "127.0.0.1:1";

/** Creates a client of the store at an address. */
export function storeClient(address: string, timeoutMs = 200): HttpRowStore {
  const pool = openPool(address, {
    connections: 8,
    connectTimeout: 200,
    keepAliveTimeout: 1_000,
    keepAliveTimeoutThreshold: 100,
    keepAliveMaxTimeout: 1_000,
  });
  return new HttpRowStore(pool, new SystemClock(), timeoutMs);
}

/** Creates the context of a gateway with this name. */
export async function gatewayContext(
  name: string,
  storeAddress: string,
  storeTimeoutMs?: number,
): Promise<GatewayContext> {
  const settings = gatewaySettingsSchema.parse({
    name,
    region: "region",
    zone: "zone-a",
    listen: {
      callers: UNUSED_ADDRESS,
      readiness: UNUSED_ADDRESS,
      directory: UNUSED_ADDRESS,
      peers: UNUSED_ADDRESS,
    },
    store: storeAddress,
    partitions: 4,
  });
  return {
    settings,
    instance: `${name}#1`,
    clock: new SystemClock(),
    random: new SeededRandomSource(1),
    hash: await loadTextHash(),
    log: pino({ level: "silent" }),
    metrics: new NoMetrics(),
    platform: {
      store: storeClient(storeAddress, storeTimeoutMs),
      calls: callProtocol,
      entry: entryProtocol,
      records: platformRecords,
    },
  };
}
