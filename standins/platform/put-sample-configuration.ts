/** A configuration with one route for turns and one for plain calls, for benchmarks of gateways. */
import type { RowStoreStandin } from "./row-store-standin.ts";
import { SAMPLE_ROUTES } from "./sample-routes.ts";

const ROUTE_TIMEOUT_MS = 3_000;

/** Writes the sample configuration to the store, as operators do. */
export function putSampleConfiguration(store: RowStoreStandin): void {
  const route = (name: string, path: string, kind: string, service: string, more: object) => ({
    name,
    host: SAMPLE_ROUTES.host,
    "path-prefix": path,
    kind,
    "timeout-ms": ROUTE_TIMEOUT_MS,
    "target-latency-ms": 200,
    priority: 0,
    service,
    ...more,
  });
  const engine = { slots: 6, "kv-capacity": 236_649, "tokens-per-event": 28 };
  store.put("op", "config", {
    version: 1,
    routes: [
      route("turn", SAMPLE_ROUTES.turnPath, "streaming", "engine", { "max-attempts": 1, resumable: true }),
      route("call", SAMPLE_ROUTES.callPath, "unsafe", "api", {}),
    ],
    services: [
      { name: "engine", "max-connections": 1_100, engine },
      { name: "api", "max-connections": 1_100 },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 1_000_000,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
  });
}
