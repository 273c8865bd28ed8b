/**
 * One gateway process: accepts callers' requests, owns partitions of programs, and tells callers which gateways to use.
 */
import { probeConnection } from "../ports/probe-connection.ts";
import { delay } from "../runtime/clock.ts";
import { RpcEndpoint } from "../runtime/rpc.ts";
import type { TcpTransport } from "../runtime/tcp-transport.ts";
import type { Sender } from "../runtime/transport.ts";
import type { BufferReason } from "../scheduling/buffers/buffer-reason.ts";
import { FULL_HEADROOM } from "../scheduling/caller-spread/headroom.ts";
import { ConnectionEnds } from "../scheduling/runner-balancing/connection-ends.ts";
import { CostByLoad } from "../scheduling/runner-balancing/cost-by-load.ts";
import { CostByTime } from "../scheduling/runner-balancing/cost-by-time.ts";
import { RunnerBalancer } from "../scheduling/runner-balancing/runner-balancer.ts";
import { BufferLimiter } from "./buffers/buffer-limiter.ts";
import { CallService } from "./calls/call-service.ts";
import { RoutingWatch } from "./configuration/routing-watch.ts";
import type { GatewayContext } from "./gateway-context.ts";
import type { GatewayMessage, GatewayRpcSchema, GatewayState } from "./gateway-messages.ts";
import type { GatewaySettings } from "./gateway-settings.ts";
import { DirectoryServer } from "./ingress/directory-server.ts";
import { IngressServer } from "./ingress/ingress-server.ts";
import { HeadroomMonitor } from "./members/headroom-monitor.ts";
import { MemberDirectory } from "./members/member-directory.ts";
import { MemberRegistry } from "./members/member-registry.ts";
import { PartitionClient } from "./partitions/partition-client.ts";
import { PartitionHost } from "./partitions/partition-host.ts";
import { DispatcherDirectory } from "./places/dispatcher-directory.ts";
import { PlaceClient } from "./places/place-client.ts";
import { PlaceHost } from "./places/place-host.ts";
import { PoolScarcity } from "./places/pool-scarcity.ts";
import { RunnerGroups } from "./places/runner-groups.ts";
import { TenantWeights } from "./places/tenant-weights.ts";
import { PlannedStop } from "./planned-stop.ts";
import { PoisonGuard } from "./poison-requests/poison-guard.ts";
import { RateClient } from "./rates/rate-client.ts";
import { RateHost } from "./rates/rate-host.ts";
import { RunnerConnections } from "./runners/runner-connections.ts";
import { RunnerEndDetector } from "./runners/runner-end-detector.ts";
import { RunnerWatch } from "./runners/runner-watch.ts";
import { RelayedRowStore } from "./store/relayed-row-store.ts";
import { StoreHealth } from "./store-health.ts";
import { StreamOrigins } from "./streams/stream-origins.ts";
import { CallLog } from "./telemetry/call-log.ts";
import { loggedIdentifier } from "./telemetry/logged-identifier.ts";

const STOP_POLL_INTERVAL_MS = 50;
/** Maximum number of types of messages of which it is remembered that they could not be handled. */
const MAX_IGNORED_TYPES = 64;
/** Maximum time that a stop waits for the log to be flushed, in ms. */
const LOG_FLUSH_TIMEOUT_MS = 500;

export class GatewayDaemon {
  readonly #context: GatewayContext;
  readonly #transport: TcpTransport<GatewayMessage>;
  readonly #rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly #members: MemberDirectory;
  readonly #registry: MemberRegistry;
  readonly #partitions: PartitionHost;
  readonly #rateHost: RateHost;
  readonly #placeHost: PlaceHost;
  readonly #placeClient: PlaceClient;
  readonly #routing: RoutingWatch;
  readonly #runners: RunnerWatch;
  readonly #board: RunnerBalancer;
  readonly #connections: RunnerConnections;
  readonly #streams: StreamOrigins;
  readonly #guard: PoisonGuard;
  readonly #buffers: BufferLimiter;
  readonly #ingress: IngressServer;
  /** Undefined if the directory lists all gateways equally, without regard to their headroom. */
  readonly #headroom: HeadroomMonitor | undefined;
  readonly #entry: DirectoryServer;
  readonly #callLog: CallLog;
  readonly #health: StoreHealth;
  readonly #store: RelayedRowStore;
  /** Types of messages that could not be handled and were ignored. */
  readonly #ignoredTypes = new Set<string>();
  #hasAnnouncedReady = false;
  /** Set once a planned stop has released the partitions, or no longer waits for their release. */
  #hasReleasedPartitions = false;
  readonly #plannedStop: PlannedStop;
  #stopping: Promise<void> | undefined;

  /** @param baseContext the context, whose store uses this gateway's own connections only */
  constructor(baseContext: GatewayContext, transport: TcpTransport<GatewayMessage>) {
    this.#transport = transport;
    this.#rpc = new RpcEndpoint<GatewayRpcSchema>(transport, baseContext.clock, baseContext.random);
    const { clock, random, log, platform } = baseContext;
    this.#store = new RelayedRowStore({ direct: platform.store, clock, random, rpc: this.#rpc, log });
    const context = { ...baseContext, platform: { ...baseContext.platform, store: this.#store } };
    this.#context = context;
    const health = new StoreHealth(context);
    this.#plannedStop = new PlannedStop(clock, context.settings.timing);
    const { byExpectedTime } = context.settings.balance;
    this.#board = new RunnerBalancer(byExpectedTime ? new CostByTime() : new CostByLoad());
    this.#members = new MemberDirectory(context, transport, health);
    this.#registry = new MemberRegistry(context, this.#members, transport.self.address);
    this.#partitions = new PartitionHost(context, this.#members, health, this.#rpc);
    this.#rateHost = new RateHost(context, this.#members, this.#partitions, this.#rpc);
    this.#routing = new RoutingWatch(context, health);
    this.#runners = new RunnerWatch(context, health, this.#board);
    const countLiveGateways = () => this.#members.aliveCount + 1;
    this.#connections = new RunnerConnections({
      clock,
      board: this.#board,
      gateways: countLiveGateways,
      maxConnections: (pool) => this.#routing.routes?.pool(pool)?.maxConnections,
      onConnectionEnded: (runner) => this.#runners.versions.recordConnectionEnd(runner, clock.monotonicMs()),
    });
    this.#buffers = new BufferLimiter(context);
    this.#ingress = new IngressServer(context, this.#buffers);
    const { byHeadroom } = context.settings.balance;
    if (byHeadroom) this.#headroom = new HeadroomMonitor(context, () => this.#ingress.active);
    this.#entry = new DirectoryServer(context, this.#members, () => this.state === "ready");
    const partitionClient = new PartitionClient(context, this.#members, this.#partitions, this.#rpc, health);
    this.#callLog = new CallLog(context.log, context.clock);
    this.#health = health;
    const groups = new RunnerGroups(context, this.#board);
    const dispatchers = new DispatcherDirectory(context, this.#members);
    const placeDependencies = { context, board: this.#board, groups, dispatchers, rpc: this.#rpc, transport };
    this.#placeHost = new PlaceHost({
      ...placeDependencies,
      weights: new TenantWeights(() => this.#routing.routes),
      memoryTokens: (pool) => this.#routing.routes?.pool(pool)?.engine?.cacheTokens,
    });
    const scarcity = new PoolScarcity(context, this.#board, groups, countLiveGateways);
    this.#placeClient = new PlaceClient({ ...placeDependencies, scarcity });
    this.#streams = new StreamOrigins({
      context,
      members: this.#members,
      rpc: this.#rpc,
      transport,
      versions: this.#runners.versions,
      streamLifetimeMs: () => this.#routing.routes?.streamLifetimeMs ?? Number.POSITIVE_INFINITY,
    });
    this.#guard = new PoisonGuard({
      context,
      members: this.#members,
      rpc: this.#rpc,
      transport,
      detector: new RunnerEndDetector(this.#board, probeConnection),
    });
    const callDependencies = {
      context,
      board: this.#board,
      connections: this.#connections,
      callLog: this.#callLog,
      places: this.#placeClient,
      buffers: this.#buffers,
      versions: this.#runners.versions,
      streams: this.#streams,
      connectionEnds: new ConnectionEnds(),
      guard: this.#guard,
      plannedStop: this.#plannedStop,
    };
    const rateClient = new RateClient(context, this.#members, this.#partitions, this.#rpc);
    const routes = () => (this.#canServe ? this.#routing.routes : undefined);
    const calls = new CallService(
      callDependencies,
      partitionClient,
      rateClient,
      routes,
      () => this.#routing.canTrustKeys,
    );
    this.#ingress.onHead = (head) => calls.decide(head);
    this.#routing.onChanged = (routes) => {
      this.#ingress.setLimits(routes.configuration.limits);
      this.#announceReady();
    };
    this.#runners.onListRead = () => this.#announceReady();
    this.#runners.onRemoved = (runner, hasDrained) => {
      this.#connections.drain(runner);
      if (!hasDrained) this.#guard.onRunnerGone(runner);
    };
    this.#runners.onReplaced = (runner) => {
      this.#connections.abort(runner);
      this.#guard.onRunnerGone(runner);
    };
    this.#members.selfReport = () => ({
      state: this.state,
      storeDirect: this.#store.isDirect,
      owned: this.#hasReleasedPartitions ? [] : this.#partitions.owned,
      runners: this.#board.ownReport(context.clock.monotonicMs()),
      headroom: this.#headroom?.headroom,
    });
    this.#registerCallbacks();
  }

  /** Lifecycle state of this gateway. */
  get state(): GatewayState {
    if (this.#stopping) return "stopping";
    return this.#canServe ? "ready" : "starting";
  }

  /** Starts all components. */
  async start(): Promise<void> {
    const { listen } = this.#context.settings;
    this.#routing.start();
    this.#runners.start();
    this.#connections.start();
    this.#members.start();
    this.#registry.start();
    this.#partitions.start();
    this.#rateHost.start();
    this.#placeHost.start();
    this.#streams.start();
    this.#headroom?.start();
    await this.#entry.listen([listen.readiness, listen.directory]);
    await this.#ingress.listen(listen.callers);
    await this.#serveMetrics();
  }

  /** Stops as planned: leaves the directory, lets requests in flight finish, and hands its partitions over. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  /** Applies the settings that may change while the process runs: the seeds. */
  reload(settings: GatewaySettings): void {
    this.#members.addKnownAddresses(settings.seeds);
    this.#context.log.info({ seeds: settings.seeds }, "settings read again");
  }

  /** Logs an error that no component has handled. The operation that it hit has failed; the process continues. */
  logUnexpectedError(reason: unknown): void {
    const stack = reason instanceof Error ? reason.stack : String(reason);
    this.#context.log.error({ stack }, "unexpected error");
  }

  /**
   * Sends heartbeats at once when this gateway becomes ready: the others wait for starting gateways before they claim
   * partitions.
   */
  #announceReady(): void {
    if (this.#hasAnnouncedReady || this.state !== "ready") return;
    this.#hasAnnouncedReady = true;
    this.#members.tick();
  }

  get #canServe(): boolean {
    return this.#routing.routes !== undefined && this.#runners.ready;
  }

  #serveMetrics(): Promise<void> {
    const gauges = {
      members: () => this.#members.aliveCount,
      partitions: () => this.#partitions.owned.length,
      requestsInProgress: () => this.#ingress.active,
      runnerConnections: () => this.#connections.count,
      headroom: () => this.#headroom?.headroom ?? FULL_HEADROOM,
      heldBytes: (reason: BufferReason) => this.#buffers.heldFor(reason),
      unprocessedBytes: () => this.#ingress.unprocessedBytes,
      callerConnections: () => this.#ingress.connections,
      programBytes: () => this.#partitions.programBytes,
      cachedTurnBytes: () => this.#partitions.cachedTurnBytes,
      omittedLogLines: () => this.#callLog.omittedTotal,
      configurationVersion: () => this.#routing.routes?.configuration.version ?? 0,
      configurationBehindMs: () => this.#routing.behindMs,
      storeReachable: () => this.#health.reachable,
    };
    return this.#context.metrics.serve(gauges, () => this.state === "ready");
  }

  #registerCallbacks(): void {
    this.#store.relays = () => this.#members.storeRelays();
    this.#store.answerTimeoutMs = () => this.#health.writeTimeout.currentMs;
    this.#members.onHeard = (member) => {
      this.#partitions.learn(member);
      this.#store.updateRelay(member.instance, member.status.storeDirect);
      this.#guard.onMember(member.instance, member.address);
    };
    this.#members.onLoads = (source, report) =>
      this.#board.recordReport(source, report, this.#context.clock.monotonicMs());
    this.#members.sumLoads = (sources) => this.#board.sumReports(sources);
    this.#members.onLost = (member) => {
      this.#partitions.forget(member);
      this.#board.dropReport(member.instance);
      this.#placeHost.onGatewayLost(member.instance);
      this.#placeClient.onGatewayLost(member.instance);
      this.#store.removeRelay(member.instance);
      this.#guard.onMemberLost(member.instance);
      this.#rpc.failPending(member.address);
    };
    this.#transport.onDisconnected((address, reason) => {
      this.#rpc.failPending(address);
      this.#members.onDisconnected(address, reason);
    });
    this.#transport.onClosed = (reason) => this.#context.metrics.recordConnectionClosed("peers", reason);
    this.#transport.onMessage((message, from) => this.#onMessage(message, from));
  }

  /** Ignores messages that can't be handled: peers may run other builds. */
  #onMessage(message: GatewayMessage, from: Sender): void {
    try {
      this.#dispatch(message, from);
    } catch (error) {
      this.#logIgnoredMessage(message, from, (error as Error).message);
    }
  }

  #dispatch(message: GatewayMessage, from: Sender): void {
    switch (message.type) {
      case "heartbeat":
        return this.#members.onHeartbeat(message, from);
      case "memberDigest":
        return this.#members.onDigest(message, from);
      case "placeSettled":
        return this.#placeClient.onSettled(message, from);
      case "returnPlaces":
        return this.#placeHost.onReturned(message);
      case "streamsBegun":
        return this.#streams.onStreamsBegun(message);
      case "suspectRunEnded":
        return this.#guard.onRunEnded(message);
      case "runnerReserved":
        return this.#guard.onRunnerReserved(message);
      case "suspectCleared":
        return this.#guard.onCleared(message);
      case "suspectsKnown":
        return this.#guard.onSuspectsKnown(message);
      case "rpcRequest":
        return void this.#rpc.onRequest(message, from);
      case "rpcResponse":
        return this.#rpc.onResponse(message);
      default:
        return this.#logIgnoredMessage(message, from, "unknown type");
    }
  }

  /** Logs only the first ignored message of each type, and of a limited number of types. */
  #logIgnoredMessage(message: unknown, { instance }: Sender, reason: string): void {
    const type = loggedIdentifier(String((message as Partial<GatewayMessage> | null)?.type));
    if (this.#ignoredTypes.has(type) || this.#ignoredTypes.size === MAX_IGNORED_TYPES) return;
    this.#ignoredTypes.add(type);
    this.#context.log.warn({ type, from: loggedIdentifier(String(instance)), reason }, "message passed over");
  }

  async #stop(): Promise<void> {
    const { clock, log } = this.#context;
    this.#plannedStop.begin();
    log.info({ active: this.#ingress.active, connections: this.#ingress.connections }, "stops");
    await Promise.resolve();
    this.#members.tick();
    this.#ingress.beginStop();
    await Promise.race([this.#partitions.release(), delay(clock, this.#plannedStop.lingerLeftMs)]);
    this.#hasReleasedPartitions = true;
    this.#members.tick();
    await delay(clock, this.#plannedStop.lingerLeftMs);
    this.#ingress.stopListening();
    while (this.#ingress.active > 0 && this.#plannedStop.leftMs > 0)
      await delay(clock, Math.min(STOP_POLL_INTERVAL_MS, this.#plannedStop.leftMs));
    log.info({ active: this.#ingress.active, connections: this.#ingress.connections }, "stopped");
    this.#ingress.breakOffUnfinished();
    this.#context.metrics.close();
    await this.#transport.close();
    // Lines are written in batches. A stalled reader of standard output must not delay the stop.
    const flushed = new Promise<void>((resolve) => log.flush(() => resolve()));
    await Promise.race([flushed, delay(clock, LOG_FLUSH_TIMEOUT_MS)]);
  }
}
