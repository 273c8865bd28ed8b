/** The configuration of gateways whose costs are measured: a route of turns and one of plain calls. */
import type { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";

/** Host and paths of the routes. */
export const COST_HOST = "cost.example";
export const COST_PATHS = { turn: "/turn/", call: "/call/" } as const;

const ROUTE_TIMEOUT_MS = 3_000;

/** Writes the operators' configuration. */
export function putConfiguration(store: RowStoreStandin): void {
  const route = (name: string, path: string, kind: string, service: string, more: object) => ({
    name,
    host: COST_HOST,
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
      route("turn", COST_PATHS.turn, "streaming", "engine", { "max-attempts": 1, resumable: true }),
      route("call", COST_PATHS.call, "unsafe", "api", {}),
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
