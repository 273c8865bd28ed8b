/** One gateway's calls in virtual time, between callers' connections in memory and simulated runners. */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { pino } from "pino";
import { callProtocol } from "../../../platform/call-headers.ts";
import { BufferLimiter } from "../../../src/gateway/buffers/buffer-limiter.ts";
import { CallerBuffers } from "../../../src/gateway/buffers/caller-buffers.ts";
import { BufferedCall } from "../../../src/gateway/calls/buffered-call.ts";
import type { RoutedRequest } from "../../../src/gateway/calls/routed-call.ts";
import type { AttemptParts } from "../../../src/gateway/calls/runner-attempt.ts";
import { StreamedCall } from "../../../src/gateway/calls/streamed-call.ts";
import type { GatewayContext } from "../../../src/gateway/gateway-context.ts";
import type { AdmitTurnResponse } from "../../../src/gateway/gateway-messages.ts";
import { gatewaySettingsSchema } from "../../../src/gateway/gateway-settings.ts";
import { CallerExchange } from "../../../src/gateway/ingress/caller-exchange.ts";
import type { PartitionClient } from "../../../src/gateway/partitions/partition-client.ts";
import { PlannedStop } from "../../../src/gateway/planned-stop.ts";
import { PoisonGuard } from "../../../src/gateway/poison-requests/poison-guard.ts";
import { RunnerEndDetector } from "../../../src/gateway/runners/runner-end-detector.ts";
import { RunnerVersions } from "../../../src/gateway/runners/runner-versions.ts";
import { CallLog } from "../../../src/gateway/telemetry/call-log.ts";
import { NoMetrics } from "../../../src/gateway/telemetry/no-metrics.ts";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../../src/scheduling/ids/software-version.ts";
import type { Route, RunnerPool } from "../../../src/scheduling/routing/routing-configuration.ts";
import { ConnectionEnds } from "../../../src/scheduling/runner-balancing/connection-ends.ts";
import { RunnerBalancer } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import { rawRequestText } from "../../../standins/platform/raw-request.ts";
import { SimulatedProcess, VirtualTime } from "../virtual-time.ts";
import { CallerConnection } from "./caller-connection.ts";
import type { ObservedConnection } from "./observed-connection.ts";
import { MAX_BROKEN_RUNS, SimulatedCall } from "./simulated-call.ts";
import { SimulatedRunners } from "./simulated-runners.ts";

const ZONE = "zone";
const POOL: RunnerPool = { name: "pool", maxConnections: 100, engine: undefined };
const RUNNERS = 4;
/** Timeout of every route, in ms. */
export const TIMEOUT_MS = 2_000;

export class AnswerWorld {
  readonly time = new VirtualTime();
  readonly random: SeededRandomSource;
  readonly connections: ObservedConnection[] = [];
  readonly #calls = new Map<string, SimulatedCall>();
  readonly #context: GatewayContext;
  readonly #parts: AttemptParts;
  readonly #partitions: PartitionClient;
  readonly #limiter: BufferLimiter;
  readonly #server = createServer((request, response) => this.#serve(request, response));

  constructor(seed: number) {
    this.random = new SeededRandomSource(seed);
    const clock = new SimulatedProcess("gateway", ZONE, this.time);
    this.#context = contextOf(clock, this.random);
    this.#limiter = new BufferLimiter(this.#context);
    const runners = new SimulatedRunners(this.time, this.random, this.#calls);
    this.#parts = partsOf(this.#context, this.#limiter, runners);
    this.#partitions = this.#partitionClient();
  }

  drawCall(version: "1.0" | "1.1"): SimulatedCall {
    const route = ROUTES[this.random.below(ROUTES.length)] as Route;
    const call = new SimulatedCall(`call-${this.#calls.size}`, route, version, this.random);
    this.#calls.set(call.id, call);
    return call;
  }

  /** Sends calls behind each other on a new connection. */
  connect(calls: readonly SimulatedCall[]): void {
    const connection = new CallerConnection();
    this.#server.emit("connection", connection);
    this.connections.push({ connection, calls });
    connection.push(calls.map(requestText).join(""));
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const call = this.#calls.get(String(request.headers["x-request-id"])) as SimulatedCall;
    const arrivedAtMs = this.#context.clock.monotonicMs();
    const { headers } = request;
    const head = { host: "h", path: "/", headers, bodyBytes: 0, arrivedAtMs };
    const buffers = new CallerBuffers(this.#limiter);
    const exchange = new CallerExchange(request, response, Buffer.alloc(0), head, buffers, () => false);
    const context = callProtocol.parseCall(headers);
    if (!context) throw new Error("a request without an identifier");
    const routed: RoutedRequest = {
      exchange,
      call: context,
      route: call.route,
      pool: POOL,
      tenant: undefined,
      rank: 0,
      hidesKey: false,
      rate: undefined,
      configurationVersion: 1,
      resumed: undefined,
    };
    if (call.isStream) new StreamedCall(this.#parts, this.#partitions, routed).run();
    else new BufferedCall(this.#parts, routed).run();
  }

  /** Admits every turn and stores its output. */
  #partitionClient(): PartitionClient {
    const granted: AdmitTurnResponse = { type: "granted", history: [], runner: undefined };
    const client: Partial<PartitionClient> = {
      partitionOf: () => 0,
      ownerOf: () => "owner",
      admit: async () => granted,
      end: async () => ({ type: "unavailable", detail: "" }) as never,
      storeTurn: async (turn: RequestId, { output }) => {
        const call = this.#calls.get(turn);
        if (call) call.retained = Buffer.from(output).toString("latin1");
        return true;
      },
      endRetained: async () => undefined,
    };
    return client as PartitionClient;
  }
}

function contextOf(clock: SimulatedProcess, random: SeededRandomSource): GatewayContext {
  const address = "127.0.0.1:1";
  const listen = { callers: address, readiness: address, directory: address, peers: address };
  const named = { name: "gateway", region: "region", zone: ZONE, listen, store: address, partitions: 1 };
  const platform = { calls: callProtocol } as GatewayContext["platform"];
  const context: Partial<GatewayContext> = {
    settings: gatewaySettingsSchema.parse(named),
    clock,
    random,
    log: pino({ level: "silent" }),
    metrics: new NoMetrics(),
    platform,
  };
  return context as GatewayContext;
}

function partsOf(context: GatewayContext, buffers: BufferLimiter, runners: SimulatedRunners): AttemptParts {
  const entries = Array.from({ length: RUNNERS }, (_, index) => runnerEntry(`runner-${index}`));
  const board = new RunnerBalancer();
  for (const entry of entries) board.upsert(entry);
  const any = () => () => true;
  const connections: Partial<AttemptParts["connections"]> = {
    pool: () => runners.pool,
    withinShareFilter: any,
    beyondShareFilter: any,
    isConnected: () => true,
  };
  const places: Partial<AttemptParts["places"]> = { requiresPlace: () => false };
  const streams: Partial<AttemptParts["streams"]> = {
    recordBegin: () => undefined,
    recordEnd: () => undefined,
  };
  return {
    context,
    board,
    connections: connections as AttemptParts["connections"],
    callLog: new CallLog(context.log, context.clock),
    places: places as AttemptParts["places"],
    buffers,
    versions: new RunnerVersions(new Map(entries.map((entry) => [entry.name, entry])), TIMEOUT_MS),
    streams: streams as AttemptParts["streams"],
    connectionEnds: new ConnectionEnds(),
    plannedStop: new PlannedStop(context.clock, context.settings.timing),
    guard: new PoisonGuard({
      context,
      members: { poisonGuards: () => [], lostPoisonGuards: () => [] },
      rpc: { handle: () => undefined, ask: async () => ({ type: "timeout" }) },
      transport: { self: { instance: "", address: "" }, send: () => undefined },
      detector: new RunnerEndDetector(board, async () => "accepted"),
    }),
  };
}

function runnerEntry(name: string): RunnerEntry {
  return {
    id: name as RunnerId,
    name: name as RunnerName,
    startedAtMs: undefined,
    pool: POOL.name,
    address: "127.0.0.1:1",
    zone: ZONE,
    version: "v1" as SoftwareVersion,
    slots: 100,
    state: "ready",
  };
}

const STREAM: Route = {
  name: "stream",
  host: "h",
  pathPrefix: "/",
  kind: "streaming",
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 200,
  priority: 0,
  shares: [{ pool: POOL.name, weight: 1 }],
  maxAttempts: 1,
  resumable: true,
  retainsTurns: false,
  retentionMs: 60_000,
  isPublic: false,
};
const ROUTES: readonly Route[] = [
  STREAM,
  { ...STREAM, maxAttempts: 3 },
  { ...STREAM, resumable: false },
  { ...STREAM, retainsTurns: true },
  { ...STREAM, kind: "safe", maxAttempts: MAX_BROKEN_RUNS + 1 },
  { ...STREAM, kind: "safe", maxAttempts: MAX_BROKEN_RUNS },
  { ...STREAM, kind: "unsafe" },
];

function requestText({ id, route, version }: SimulatedCall): string {
  const program = route.retainsTurns ? `program-of-${id}` : undefined;
  return rawRequestText({ id, version, program });
}
