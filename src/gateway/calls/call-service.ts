/** Finds the route of each caller's request, checks whether the caller may send it, and runs the call. */
import type { CallContext } from "../../ports/call-protocol.ts";
import { poolSelectionKey } from "../../scheduling/routing/pool-selection-key.ts";
import { choosePool, type RouteTable } from "../../scheduling/routing/route-table.ts";
import type { Route, RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import { type StreamKey, type StreamOrigin, streamKeyOf } from "../../scheduling/stream-versions/index.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import { INSUFFICIENT_MEMORY } from "../ingress/insufficient-memory.ts";
import type { ProblemResponse } from "../ingress/problem-response.ts";
import type { RequestHead } from "../ingress/request-head.ts";
import type { RequestVerdict } from "../ingress/request-verdict.ts";
import { STOPPING } from "../ingress/stopping.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";
import type { RateClient } from "../rates/rate-client.ts";
import type { RateVerdict } from "../rates/rate-verdict.ts";
import type { OriginVerdict } from "../streams/origin-verdict.ts";
import { CallRecord } from "../telemetry/call-record.ts";
import type { RateRecord } from "../telemetry/rate-record.ts";
import { BufferedCall } from "./buffered-call.ts";
import { callTimeoutMs } from "./call-timeout.ts";
import { OWNER_RETRY_AFTER_MS } from "./owner-retry.ts";
import type { ResumedStream } from "./resumed-stream.ts";
import { resumedStreamRecordOf } from "./resumed-stream-record-of.ts";
import type { RoutedRequest } from "./routed-call.ts";
import type { AttemptParts } from "./runner-attempt.ts";
import { StreamedCall } from "./streamed-call.ts";

const STARTING: ProblemResponse = {
  status: 503,
  kind: "starting",
  detail: "This gateway knows no configuration yet.",
  retryAfterMs: 250,
};
const NO_IDENTIFIER: ProblemResponse = {
  status: 400,
  kind: "invalid-request",
  detail: "The request has no identifier.",
};
const NO_ROUTE: ProblemResponse = { status: 404, kind: "no-route", detail: "No route leads there." };
const UNKNOWN_KEY: ProblemResponse = {
  status: 401,
  kind: "unknown-key",
  detail: "The request needs the key of a tenant.",
};
/**
 * Other gateways have the newest configuration, or will have it soon. The retry delay is therefore the time to open a new
 * connection.
 */
const STALE_CONFIGURATION: ProblemResponse = {
  status: 503,
  kind: "configuration-stale",
  detail: "This gateway cannot be sure that the key is still valid.",
  retryAfterMs: 150,
  closesConnection: true,
};
/** The caller may send the request again without its last event, or ask another gateway. */
const CANNOT_RESUME = { status: 503, kind: "cannot-resume", retryAfterMs: 100 };
/** Fraction of a call's timeout for which the owner of its tenant's limit is looked for; the rest is for the runner. */
const MAX_OWNER_WAIT_FRACTION = 0.5;
const HASH_RANGE = 2 ** 32;

/** The route and the runner pool of a call, and its tenant. */
interface Destination {
  readonly call: CallContext;
  readonly route: Route;
  readonly pool: RunnerPool;
  readonly tenant: Tenant | undefined;
}

/** What is known about a request that is refused before it runs. */
interface RefusedCall {
  readonly call: CallContext;
  readonly route: Route | undefined;
  readonly tenant?: Tenant | undefined;
  readonly rate?: RateRecord;
}

export class CallService {
  readonly #parts: AttemptParts;
  readonly #partitions: PartitionClient;
  readonly #rates: RateClient;
  readonly #routes: () => RouteTable | undefined;
  readonly #canTrustKeys: () => boolean;

  /**
   * @param routes the routes in force; undefined while this gateway cannot serve
   * @param canTrustKeys whether the keys of the configuration in force may be trusted: none was revoked long ago
   */
  constructor(
    parts: AttemptParts,
    partitions: PartitionClient,
    rates: RateClient,
    routes: () => RouteTable | undefined,
    canTrustKeys: () => boolean,
  ) {
    this.#parts = parts;
    this.#partitions = partitions;
    this.#rates = rates;
    this.#routes = routes;
    this.#canTrustKeys = canTrustKeys;
  }

  /** Decides by a request's head whether the request is accepted. */
  decide(head: RequestHead): RequestVerdict {
    const routes = this.#routes();
    if (!routes) return { type: "refuse", problem: STARTING };
    const call = this.#parts.context.platform.calls.parseCall(head.headers);
    if (!call) return { type: "refuse", problem: NO_IDENTIFIER };
    const route = routes.find(head.host, head.path);
    const pool = route && this.#poolOf(route, routes, call);
    if (!route || !pool) return this.#refuse(NO_ROUTE, call, undefined, routes);
    const needsKey = routes.needsKey(route);
    if (needsKey && !this.#canTrustKeys()) return this.#refuse(STALE_CONFIGURATION, call, route, routes);
    const tenant = needsKey && call.key !== undefined ? routes.tenantOf(call.key) : undefined;
    if (needsKey && !tenant) return this.#refuse(UNKNOWN_KEY, call, route, routes);
    if (this.#parts.buffers.refuses(head.bodyBytes))
      return this.#refuse(INSUFFICIENT_MEMORY, call, route, routes);
    if (!this.#parts.plannedStop.accepts(callTimeoutMs(call, route)))
      return this.#refuse(STOPPING, call, route, routes);
    const destination = { call, route, pool, tenant };
    return { type: "accept", run: (exchange) => void this.#admit(exchange, destination, routes) };
  }

  /** Runs a call if its tenant's limit admits it. */
  async #admit(exchange: CallerExchange, destination: Destination, routes: RouteTable): Promise<void> {
    const { tenant, call, route } = destination;
    if (tenant?.limit === undefined) return this.#start(exchange, destination, routes, undefined);
    const { clock, metrics, settings } = this.#parts.context;
    const askedAtMs = clock.monotonicMs();
    const waitMs = Math.min(
      settings.timing.ownerWaitMs,
      callTimeoutMs(call, route) * MAX_OWNER_WAIT_FRACTION,
    );
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
    if (verdict.type === "granted") return this.#start(exchange, destination, routes, rate);
    const problem = problemOf(verdict);
    this.#logRefusal(problem, { call, route, tenant, rate }, routes);
    exchange.refuse(problem);
  }

  /** Starts a call. If its caller takes a stream up, finds out first where that began. */
  #start(
    exchange: CallerExchange,
    destination: Destination,
    routes: RouteTable,
    rate: RateRecord | undefined,
  ): void {
    const { call, route } = destination;
    // Turns that are retained can't be taken up: the call refuses that itself.
    const resumes = route.kind === "streaming" && call.lastEventId !== undefined && !route.retainsTurns;
    if (resumes) void this.#resume(exchange, destination, routes, rate);
    else this.#run(exchange, destination, routes, rate, undefined);
  }

  async #resume(
    exchange: CallerExchange,
    destination: Destination,
    routes: RouteTable,
    rate: RateRecord | undefined,
  ): Promise<void> {
    const { call, route, pool, tenant } = destination;
    const key = call.resumes === undefined ? undefined : streamKeyOf(tenant?.name, call.resumes);
    const verdict = await this.#parts.streams.find(key, pool.name);
    const resumed = verdict.type === "unknown" ? undefined : resumedStreamOf(key, verdict);
    const originPool = resumed?.origin ? poolOfOrigin(resumed.origin, route, routes) : pool;
    this.#parts.context.metrics.recordResumedStream(resumed?.knownBy ?? "unknown");
    if (resumed && originPool)
      return this.#run(exchange, { ...destination, pool: originPool }, routes, rate, resumed);
    const detail = verdict.type === "unknown" ? verdict.reason : "the route no longer leads to its runners";
    const problem = { ...CANNOT_RESUME, detail: `The stream can't go on: ${detail}.` };
    this.#logRefusal(problem, { call, route, tenant, ...(rate === undefined ? {} : { rate }) }, routes);
    exchange.refuse(problem);
  }

  #run(
    exchange: CallerExchange,
    { call, route, pool, tenant }: Destination,
    routes: RouteTable,
    rate: RateRecord | undefined,
    resumed: ResumedStream | undefined,
  ): void {
    const { tenants, version } = routes.configuration;
    const hidesKey = tenants !== undefined;
    const rank = routes.rankOf(route, tenant);
    const request: RoutedRequest = {
      exchange,
      call,
      route,
      pool,
      tenant,
      rank,
      hidesKey,
      rate,
      configurationVersion: version,
      resumed,
    };
    const routed =
      route.kind === "streaming"
        ? new StreamedCall(this.#parts, this.#partitions, request)
        : new BufferedCall(this.#parts, request);
    routed.run();
  }

  #poolOf(route: Route, routes: RouteTable, call: CallContext): RunnerPool | undefined {
    const sample = this.#parts.context.hash.hash32(poolSelectionKey(route.kind, call)) / HASH_RANGE;
    const name = choosePool(route, sample);
    return name === undefined ? undefined : routes.pool(name);
  }

  /** Refuses a request and logs the refusal. */
  #refuse(
    problem: ProblemResponse,
    call: CallContext,
    route: Route | undefined,
    routes: RouteTable,
  ): RequestVerdict {
    this.#logRefusal(problem, { call, route }, routes);
    return { type: "refuse", problem };
  }

  /** Logs and counts a request that is refused before it runs. */
  #logRefusal(
    { status, kind, detail }: ProblemResponse,
    { call, route, tenant, rate }: RefusedCall,
    { configuration }: RouteTable,
  ): void {
    const { requestId, program } = call;
    const record = new CallRecord(requestId, program?.id, route?.name ?? "none", configuration.version);
    record.tenant = tenant?.name;
    record.rate = rate;
    record.resumed = resumedStreamRecordOf(call, undefined);
    const elapsedMs = rate === undefined ? 0 : rate.atMs + rate.elapsedMs;
    const end = { status, kind, detail };
    this.#parts.callLog.logCall(record, end, elapsedMs);
    this.#parts.context.metrics.recordCall(record.route, end, elapsedMs, undefined);
  }
}

function resumedStreamOf(
  key: StreamKey | undefined,
  verdict: Exclude<OriginVerdict, { type: "unknown" }>,
): ResumedStream {
  if (verdict.type === "version")
    return { key, version: verdict.version, origin: undefined, knownBy: "list" };
  const { origin, knownBy } = verdict;
  return { key, version: origin.version, origin, knownBy };
}

/** The pool in which a stream began, if its route still leads there. */
function poolOfOrigin({ pool }: StreamOrigin, route: Route, routes: RouteTable): RunnerPool | undefined {
  const isShare = route.shares.some((share) => share.pool === pool && share.weight > 0);
  return isShare ? routes.pool(pool) : undefined;
}

function problemOf(verdict: Exclude<RateVerdict, { type: "granted" }>): ProblemResponse {
  if (verdict.type === "unavailable") {
    const { detail } = verdict;
    return { status: 503, kind: "unavailable", detail, retryAfterMs: OWNER_RETRY_AFTER_MS };
  }
  const { retryAfterMs } = verdict;
  return { status: 429, kind: "limited", detail: "The tenant sends more than its limit.", retryAfterMs };
}
