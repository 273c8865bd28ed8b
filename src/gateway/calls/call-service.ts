/** Takes each caller's request to its route, and has it carried out. */
import type { CallContext } from "../../ports/call-protocol.ts";
import { choosePool, type RouteTable } from "../../scheduling/routing/route-table.ts";
import type { Route, RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import { spreadKey } from "../../scheduling/routing/spread-key.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import type { CallerHead } from "../ingress/caller-head.ts";
import type { CallerProblem } from "../ingress/caller-problem.ts";
import type { HeadVerdict } from "../ingress/head-verdict.ts";
import { NO_ROOM } from "../ingress/no-room.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";
import type { RateClient } from "../rates/rate-client.ts";
import type { RateVerdict } from "../rates/rate-verdict.ts";
import { CallRecord } from "../telemetry/call-record.ts";
import type { RateRecord } from "../telemetry/rate-record.ts";
import { callTimeMs } from "./call-time.ts";
import { OWNER_RETRY_AFTER_MS } from "./owner-retry.ts";
import { PlainCall } from "./plain-call.ts";
import type { CallStart } from "./routed-call.ts";
import type { AttemptParts } from "./runner-attempt.ts";
import { StreamedCall } from "./streamed-call.ts";

const STARTING: CallerProblem = {
  status: 503,
  kind: "starting",
  detail: "This gateway knows no configuration yet.",
  retryAfterMs: 250,
};
const NO_IDENTIFIER: CallerProblem = {
  status: 400,
  kind: "invalid-request",
  detail: "The request has no identifier.",
};
const NO_ROUTE: CallerProblem = { status: 404, kind: "no-route", detail: "No route leads there." };
const UNKNOWN_KEY: CallerProblem = {
  status: 401,
  kind: "unknown-key",
  detail: "The request needs the key of a tenant.",
};
/** The time to come back is that of a new connection: other gateways know the newest configuration, or will soon. */
const UNTRUSTED: CallerProblem = {
  status: 503,
  kind: "configuration-stale",
  detail: "This gateway cannot be sure that the key is still valid.",
  retryAfterMs: 150,
  goElsewhere: true,
};
/** Part of a request's time for which the owner of its tenant's limit is looked for; the rest is for the runner. */
const LOOKING_PART = 0.5;
const HASH_RANGE = 2 ** 32;

/** Where a request goes, and for whom. */
interface Destination {
  readonly call: CallContext;
  readonly route: Route;
  readonly pool: RunnerPool;
  readonly tenant: Tenant | undefined;
}

/** What is known of a request that is refused before it is carried out. */
interface RefusedCall {
  readonly call: CallContext;
  readonly route: Route | undefined;
  readonly tenant?: Tenant | undefined;
  readonly rate?: RateRecord;
}

/** See the module's comment. */
export class CallService {
  readonly #parts: AttemptParts;
  readonly #partitions: PartitionClient;
  readonly #rates: RateClient;
  readonly #routes: () => RouteTable | undefined;
  readonly #trustsKeys: () => boolean;

  /**
   * @param routes the routes in force; undefined while this gateway cannot serve
   * @param trustsKeys whether the keys of the configuration in force can't have been taken away long ago
   */
  constructor(
    parts: AttemptParts,
    partitions: PartitionClient,
    rates: RateClient,
    routes: () => RouteTable | undefined,
    trustsKeys: () => boolean,
  ) {
    this.#parts = parts;
    this.#partitions = partitions;
    this.#rates = rates;
    this.#routes = routes;
    this.#trustsKeys = trustsKeys;
  }

  /** Decides by a request's head whether it is carried out. */
  decide(head: CallerHead): HeadVerdict {
    const routes = this.#routes();
    if (!routes) return { type: "refuse", problem: STARTING };
    const call = this.#parts.context.platform.calls.describeCall(head.headers);
    if (!call) return { type: "refuse", problem: NO_IDENTIFIER };
    const route = routes.find(head.host, head.path);
    const pool = route && this.#poolOf(route, routes, call);
    if (!route || !pool) return this.#refuse(NO_ROUTE, call, undefined, routes);
    const needsKey = routes.needsKey(route);
    if (needsKey && !this.#trustsKeys()) return this.#refuse(UNTRUSTED, call, route, routes);
    const tenant = needsKey && call.key !== undefined ? routes.tenantOf(call.key) : undefined;
    if (needsKey && !tenant) return this.#refuse(UNKNOWN_KEY, call, route, routes);
    if (this.#parts.buffers.refuses(head.bodyBytes)) return this.#refuse(NO_ROOM, call, route, routes);
    const destination = { call, route, pool, tenant };
    return { type: "take", run: (exchange) => void this.#admit(exchange, destination, routes) };
  }

  /** Carries a request out once its tenant may send it. */
  async #admit(exchange: CallerExchange, destination: Destination, routes: RouteTable): Promise<void> {
    const { tenant, call, route } = destination;
    if (tenant?.limit === undefined) return this.#run(exchange, destination, routes, undefined);
    const { clock, metrics, settings } = this.#parts.context;
    const askedAtMs = clock.monotonicMs();
    const waitMs = Math.min(settings.timing.ownerWaitMs, callTimeMs(call, route) * LOOKING_PART);
    const { version } = routes.configuration;
    const verdict = await this.#rates.admit(tenant, version, askedAtMs + waitMs);
    const elapsedMs = clock.monotonicMs() - askedAtMs;
    metrics.recordRateDecision(tenant.name, verdict.type, elapsedMs);
    const rate: RateRecord = {
      ...this.#rates.ownerOf(tenant.name),
      verdict: verdict.type,
      atMs: Math.round(askedAtMs - exchange.arrivedAtMs),
      elapsedMs: Math.round(elapsedMs),
    };
    if (verdict.type === "granted") return this.#run(exchange, destination, routes, rate);
    const problem = problemOf(verdict);
    this.#note(problem, { call, route, tenant, rate }, routes);
    exchange.refuse(problem);
  }

  #run(
    exchange: CallerExchange,
    { call, route, pool, tenant }: Destination,
    routes: RouteTable,
    rate: RateRecord | undefined,
  ): void {
    const { tenants, version } = routes.configuration;
    const hidesKey = tenants !== undefined;
    const rank = routes.rankOf(route, tenant);
    const start: CallStart = {
      exchange,
      call,
      route,
      pool,
      tenant,
      rank,
      hidesKey,
      rate,
      configurationVersion: version,
    };
    const routed =
      route.kind === "streaming"
        ? new StreamedCall(this.#parts, this.#partitions, start)
        : new PlainCall(this.#parts, start);
    routed.run();
  }

  #poolOf(route: Route, routes: RouteTable, call: CallContext): RunnerPool | undefined {
    const sample = this.#parts.context.hash.hash32(spreadKey(route.kind, call)) / HASH_RANGE;
    const name = choosePool(route, sample);
    return name === undefined ? undefined : routes.pool(name);
  }

  /** Refuses a request, with a line in the log. */
  #refuse(
    problem: CallerProblem,
    call: CallContext,
    route: Route | undefined,
    routes: RouteTable,
  ): HeadVerdict {
    this.#note(problem, { call, route }, routes);
    return { type: "refuse", problem };
  }

  /** A line in the log for a request that is refused before it is carried out. */
  #note(
    { status, kind, detail }: CallerProblem,
    { call, route, tenant, rate }: RefusedCall,
    { configuration }: RouteTable,
  ): void {
    const { requestId, program } = call;
    const record = new CallRecord(requestId, program?.id, route?.name ?? "none", configuration.version);
    record.tenant = tenant?.name;
    record.rate = rate;
    const elapsedMs = rate === undefined ? 0 : rate.atMs + rate.elapsedMs;
    const end = { status, kind, detail };
    this.#parts.callLog.logCall(record, end, elapsedMs);
    this.#parts.context.metrics.recordCall(record.route, end, elapsedMs, undefined);
  }
}

function problemOf(verdict: Exclude<RateVerdict, { type: "granted" }>): CallerProblem {
  if (verdict.type === "unavailable") {
    const { detail } = verdict;
    return { status: 503, kind: "unavailable", detail, retryAfterMs: OWNER_RETRY_AFTER_MS };
  }
  const { retryAfterMs } = verdict;
  return { status: 429, kind: "limited", detail: "The tenant sends more than its limit.", retryAfterMs };
}
