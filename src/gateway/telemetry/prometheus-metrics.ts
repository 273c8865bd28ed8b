/** Collects counters, gauges and latency histograms, and serves them as Prometheus text at the metrics address. */
import { Counter, Gauge, Histogram } from "prom-client";
import type { BodyFraming } from "../../ports/http/body-framing.ts";
import type { ConnectionCloseReason, ConnectionLimits } from "../../runtime/http-server/paced-connections.ts";
import { ProcessMetrics } from "../../telemetry/metrics.ts";
import { MetricsServer } from "../../telemetry/metrics-server.ts";
import type { RunnerCondition } from "../runners/runner-end-detector.ts";
import type { CallEnd } from "./call-end.ts";
import type { DispatchedPlaces } from "./dispatched-places.ts";
import type { GatewayGauges } from "./gateway-gauges.ts";
import { GatewayMetrics, type ListeningAddress } from "./gateway-metrics.ts";
import type { PlaceRecord } from "./place-record.ts";

const MS_PER_S = 1_000;
const CALL_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10];
const STORE_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1];

export class PrometheusMetrics extends GatewayMetrics {
  readonly #address: string;
  readonly #limits: ConnectionLimits;
  readonly #calls = new Counter({
    name: "tulipwheel_gateway_calls_total",
    help: "Finished calls, by route, status and kind",
    labelNames: ["route", "status", "kind"],
    registers: [],
  });
  readonly #callTimes = histogram("call_seconds", "Time from a call's arrival to its end", CALL_BUCKETS_S);
  readonly #firstByteTimes = histogram(
    "first_byte_seconds",
    "Time to the first byte forwarded to the caller",
    CALL_BUCKETS_S,
  );
  readonly #attemptTimes = histogram(
    "try_seconds",
    "Duration of an attempt at a runner",
    CALL_BUCKETS_S,
    "outcome",
  );
  readonly #answerEnds = new Counter({
    name: "tulipwheel_gateway_answer_ends_total",
    help: "Ends of runners' answers, by what tells the end (length, chunks, connection, none): ended or broken",
    labelNames: ["framing", "end"],
    registers: [],
  });
  readonly #runnerConditions = new Counter({
    name: "tulipwheel_gateway_broken_tries_total",
    help: "Answers that runners broke off, by what was found of the runner: ended, running or unknown",
    labelNames: ["runner"],
    registers: [],
  });
  readonly #suspectVerdicts = new Counter({
    name: "tulipwheel_gateway_suspect_runs_total",
    help: "Decisions on runs of requests under which runners have ended: granted, taken, running or poison",
    labelNames: ["verdict"],
    registers: [],
  });
  readonly #expectedAttemptTimes = histogram(
    "try_expected_seconds",
    "Expected duration of an attempt at a runner",
    CALL_BUCKETS_S,
  );
  readonly #namedGateways = new Counter({
    name: "tulipwheel_gateway_named_total",
    help: "Gateways named to callers, by their zone and that of the caller",
    labelNames: ["zone", "caller_zone"],
    registers: [],
  });
  readonly #admissionTimes = histogram(
    "admission_seconds",
    "Time until the partition owner's answer",
    CALL_BUCKETS_S,
    "answer",
  );
  readonly #rateDecisions = new Counter({
    name: "tulipwheel_gateway_tenant_requests_total",
    help: "Requests with a known key, by tenant and decision: granted, limited or unavailable",
    labelNames: ["tenant", "verdict"],
    registers: [],
  });
  readonly #rateTimes = histogram(
    "rate_seconds",
    "Time until the owner of a rate limit answered",
    CALL_BUCKETS_S,
  );
  readonly #retentionTimes = histogram(
    "retention_seconds",
    "Time for which the end of an answer waited until its turn was retained",
    CALL_BUCKETS_S,
    "held_by",
  );
  readonly #storeWriteTimes = histogram(
    "store_write_seconds",
    "Duration of a partition's write to the store",
    STORE_BUCKETS_S,
    "outcome",
  );
  readonly #unreadableRows = new Counter({
    name: "tulipwheel_gateway_unreadable_rows_total",
    help: "Rows of the store that could not be decoded when read, by table",
    labelNames: ["table"],
    registers: [],
  });
  readonly #resumedStreams = new Counter({
    name: "tulipwheel_gateway_resumed_streams_total",
    help: "Streams that callers took up, by how their software version was known",
    labelNames: ["known_by"],
    registers: [],
  });
  readonly #placeDecisions = new Counter({
    name: "tulipwheel_gateway_places_total",
    help: "Calls that asked for a place, by pool, verdict (granted, refused or alone) and reason",
    labelNames: ["pool", "verdict", "reason"],
    registers: [],
  });
  readonly #placeWaits = histogram(
    "place_wait_seconds",
    "Time until a place was granted",
    CALL_BUCKETS_S,
    "pool",
  );
  readonly #placeForecastErrors = histogram(
    "place_forecast_error_seconds",
    "Difference between the wait for a place and its forecast, by direction: longer or shorter",
    CALL_BUCKETS_S,
    "direction",
  );
  readonly #dispatchedPlaces = new Gauge({
    name: "tulipwheel_gateway_dispatched_places",
    help: "Places that this gateway dispatches: all, leased ones, and calls that wait, by pool and group",
    labelNames: ["pool", "group", "state"],
    registers: [],
  });
  readonly #readerDisconnects = new Counter({
    name: "tulipwheel_gateway_reader_cuts_total",
    help: "Callers disconnected because they read nothing, by what they held up: memory or a waiting runner",
    labelNames: ["reason"],
    registers: [],
  });
  readonly #closedConnections = new Counter({
    name: "tulipwheel_gateway_closed_connections_total",
    help: "Connections closed because of a limit, by address and reason: replaced, refused or memoryShort",
    labelNames: ["address", "reason"],
    registers: [],
  });
  #server: MetricsServer | undefined;

  /**
   * @param address where to serve, IP:port
   * @param limits limits of the connections to that address
   */
  constructor(address: string, limits: ConnectionLimits) {
    super();
    this.#address = address;
    this.#limits = limits;
  }

  override recordCall(route: string, end: CallEnd, elapsedMs: number, firstByteMs: number | undefined): void {
    this.#calls.inc({ route, status: String(end.status), kind: end.kind });
    this.#callTimes.observe(elapsedMs / MS_PER_S);
    if (firstByteMs !== undefined) this.#firstByteTimes.observe(firstByteMs / MS_PER_S);
  }

  override recordAttempt(outcome: string, elapsedMs: number): void {
    this.#attemptTimes.observe({ outcome }, elapsedMs / MS_PER_S);
  }

  override recordAnswerEnd(framing: BodyFraming, end: "ended" | "broken"): void {
    this.#answerEnds.inc({ framing, end });
  }

  override recordRunnerCondition(condition: RunnerCondition): void {
    this.#runnerConditions.inc({ runner: condition });
  }

  override recordSuspectVerdict(verdict: string): void {
    this.#suspectVerdicts.inc({ verdict });
  }

  override recordExpectedAttemptTime(expectedMs: number): void {
    this.#expectedAttemptTimes.observe(expectedMs / MS_PER_S);
  }

  override recordNamedGateway(zone: string, callerZone: string | undefined): void {
    this.#namedGateways.inc({ zone, caller_zone: callerZone ?? "" });
  }

  override recordAdmission(answer: string, elapsedMs: number): void {
    this.#admissionTimes.observe({ answer }, elapsedMs / MS_PER_S);
  }

  override recordRateDecision(tenant: string, verdict: string, elapsedMs: number): void {
    this.#rateDecisions.inc({ tenant, verdict });
    this.#rateTimes.observe(elapsedMs / MS_PER_S);
  }

  override recordRetention(heldBy: string, elapsedMs: number): void {
    this.#retentionTimes.observe({ held_by: heldBy }, elapsedMs / MS_PER_S);
  }

  override recordResumedStream(knownBy: string): void {
    this.#resumedStreams.inc({ known_by: knownBy });
  }

  override recordStoreWrite(outcome: string, elapsedMs: number): void {
    this.#storeWriteTimes.observe({ outcome }, elapsedMs / MS_PER_S);
  }

  override recordUnreadableRow(table: string): void {
    this.#unreadableRows.inc({ table });
  }

  override recordPlaceDecision(pool: string, place: PlaceRecord): void {
    const { verdict, reason = "", waitedMs, expectedMs } = place;
    this.#placeDecisions.inc({ pool, verdict, reason: verdict === "refused" ? reason : "" });
    if (verdict !== "granted") return;
    this.#placeWaits.observe({ pool }, waitedMs / MS_PER_S);
    if (expectedMs === undefined) return;
    const direction = waitedMs > expectedMs ? "longer" : "shorter";
    this.#placeForecastErrors.observe({ direction }, Math.abs(waitedMs - expectedMs) / MS_PER_S);
  }

  override setDispatchedPlaces(
    pool: string,
    group: number,
    { places, leased, waiting }: DispatchedPlaces,
  ): void {
    const labels = { pool, group: String(group) };
    this.#dispatchedPlaces.set({ ...labels, state: "all" }, places);
    this.#dispatchedPlaces.set({ ...labels, state: "leased" }, leased);
    this.#dispatchedPlaces.set({ ...labels, state: "waiting" }, waiting);
  }

  override recordReaderDisconnect(reason: "memoryShort" | "runnerWaits"): void {
    this.#readerDisconnects.inc({ reason });
  }

  override recordConnectionClosed(address: ListeningAddress, reason: ConnectionCloseReason): void {
    this.#closedConnections.inc({ address, reason });
  }

  override async serve(gauges: GatewayGauges, isReady: () => boolean): Promise<void> {
    const gauge = (name: string, help: string, read: () => number) => {
      return { name: `gateway_${name}`, help, type: "gauge" as const, read };
    };
    const metrics = new ProcessMetrics([
      gauge("members", "Other gateways that are alive", gauges.members),
      gauge("partitions", "Partitions owned here", gauges.partitions),
      gauge("requests_in_progress", "Callers' requests without a complete answer", gauges.requestsInProgress),
      gauge("runner_connections", "Connections to runners, idle ones included", gauges.runnerConnections),
      gauge(
        "headroom",
        "Share of the usual callers that it can serve, in quarters: 4 is all",
        gauges.headroom,
      ),
      gauge("held_answers_bytes", "Answers that wait for callers", () => gauges.heldBytes("answers")),
      gauge("held_collected_bytes", "Plain answers that are not complete", () =>
        gauges.heldBytes("collected"),
      ),
      gauge("held_bodies_bytes", "Request bodies and their histories", () => gauges.heldBytes("bodies")),
      gauge("held_outputs_bytes", "Output of turns that are to be retained", () =>
        gauges.heldBytes("outputs"),
      ),
      gauge("held_requests_bytes", "Requests that are being served, besides their bodies", () =>
        gauges.heldBytes("requests"),
      ),
      gauge("held_unprocessed_bytes", "Received from callers and not processed yet", gauges.unprocessedBytes),
      gauge("caller_connections", "Connections of callers", gauges.callerConnections),
      gauge("programs_bytes", "Memory of the programs of owned partitions", gauges.programBytes),
      gauge("cached_turns_bytes", "Memory of the cached turns of owned partitions", gauges.cachedTurnBytes),
      gauge("lines_left_out", "Log lines of calls that were omitted", gauges.omittedLogLines),
      gauge("configuration_version", "Version of the configuration in force", gauges.configurationVersion),
      gauge(
        "configuration_behind_seconds",
        "Maximum time for which the configuration in force may have been outdated",
        () => gauges.configurationBehindMs() / MS_PER_S,
      ),
      gauge("store_reachable", "1 while the store answers", () => (gauges.storeReachable() ? 1 : 0)),
    ]);
    for (const metric of [
      this.#calls,
      this.#callTimes,
      this.#firstByteTimes,
      this.#attemptTimes,
      this.#answerEnds,
      this.#runnerConditions,
      this.#suspectVerdicts,
      this.#expectedAttemptTimes,
      this.#namedGateways,
      this.#admissionTimes,
      this.#rateDecisions,
      this.#rateTimes,
      this.#retentionTimes,
      this.#storeWriteTimes,
      this.#unreadableRows,
      this.#resumedStreams,
      this.#placeDecisions,
      this.#placeWaits,
      this.#placeForecastErrors,
      this.#dispatchedPlaces,
      this.#readerDisconnects,
      this.#closedConnections,
    ])
      metrics.register(metric);
    this.#server = new MetricsServer(metrics, isReady, this.#limits);
    await this.#server.listen(this.#address);
  }

  override close(): void {
    this.#server?.close();
  }
}

function histogram(name: string, help: string, buckets: number[], label?: string): Histogram<string> {
  return new Histogram({
    name: `tulipwheel_gateway_${name}`,
    help,
    buckets,
    labelNames: label === undefined ? [] : [label],
    registers: [],
  });
}
