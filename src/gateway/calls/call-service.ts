/** Takes each caller's request to its route, and has it carried out. */
import { choosePool, type RouteTable } from "../../scheduling/routing/route-table.ts";
import { spreadKey } from "../../scheduling/routing/spread-key.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";
import { PlainCall } from "./plain-call.ts";
import type { AttemptParts } from "./runner-attempt.ts";
import { StreamedCall } from "./streamed-call.ts";

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const NOT_READY_RETRY_MS = 250;
const HASH_RANGE = 2 ** 32;

/** See the module's comment. */
export class CallService {
  readonly #parts: AttemptParts;
  readonly #partitions: PartitionClient;
  readonly #routes: () => RouteTable | undefined;

  /** @param routes the routes in force; undefined while this gateway cannot serve */
  constructor(parts: AttemptParts, partitions: PartitionClient, routes: () => RouteTable | undefined) {
    this.#parts = parts;
    this.#partitions = partitions;
    this.#routes = routes;
  }

  /** Carries a request out. */
  handle(exchange: CallerExchange): void {
    const routes = this.#routes();
    if (!routes) {
      const detail = "This gateway knows no configuration yet.";
      exchange.refuse({ status: UNAVAILABLE, kind: "starting", detail, retryAfterMs: NOT_READY_RETRY_MS });
      return;
    }
    const call = this.#parts.context.platform.calls.describeCall(exchange.headers);
    if (!call) {
      exchange.refuse({
        status: BAD_REQUEST,
        kind: "invalid-request",
        detail: "The request has no identifier.",
      });
      return;
    }
    const route = routes.find(exchange.host, exchange.path);
    const poolName =
      route && choosePool(route, this.#parts.context.hash.hash32(spreadKey(route.kind, call)) / HASH_RANGE);
    const pool = poolName === undefined ? undefined : routes.pool(poolName);
    if (!route || !pool) {
      exchange.refuse({ status: NOT_FOUND, kind: "no-route", detail: "No route leads there." });
      return;
    }
    const configurationVersion = routes.configuration.version;
    const start = { exchange, call, route, pool, configurationVersion };
    const routed =
      route.kind === "streaming"
        ? new StreamedCall(this.#parts, this.#partitions, start)
        : new PlainCall(this.#parts, start);
    routed.run();
  }
}
