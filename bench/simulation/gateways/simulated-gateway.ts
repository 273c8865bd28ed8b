/** One gateway of a simulation: all components except HTTP, connected as in the daemon. */
import { pino } from "pino";
import { RoutingWatch } from "../../../src/gateway/configuration/routing-watch.ts";
import type { GatewayContext, GatewayPlatform } from "../../../src/gateway/gateway-context.ts";
import type {
  GatewayMessage,
  GatewayRpcSchema,
  GatewayState,
} from "../../../src/gateway/gateway-messages.ts";
import type { GatewaySettings } from "../../../src/gateway/gateway-settings.ts";
import { MemberDirectory } from "../../../src/gateway/members/member-directory.ts";
import { MemberRegistry } from "../../../src/gateway/members/member-registry.ts";
import { PartitionClient } from "../../../src/gateway/partitions/partition-client.ts";
import { PartitionHost } from "../../../src/gateway/partitions/partition-host.ts";
import { PoisonGuard } from "../../../src/gateway/poison-requests/poison-guard.ts";
import { RateClient } from "../../../src/gateway/rates/rate-client.ts";
import { RateHost } from "../../../src/gateway/rates/rate-host.ts";
import { RunnerEndDetector } from "../../../src/gateway/runners/runner-end-detector.ts";
import { RunnerWatch } from "../../../src/gateway/runners/runner-watch.ts";
import { RelayedRowStore } from "../../../src/gateway/store/relayed-row-store.ts";
import { StoreHealth } from "../../../src/gateway/store-health.ts";
import { StreamOrigins } from "../../../src/gateway/streams/stream-origins.ts";
import { NoMetrics } from "../../../src/gateway/telemetry/no-metrics.ts";
import type { PlatformRecords } from "../../../src/ports/platform-records.ts";
import type { ConnectionProbe } from "../../../src/ports/probe-connection.ts";
import type { RandomSource } from "../../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../../src/runtime/rpc.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { RoutingConfiguration } from "../../../src/scheduling/routing/routing-configuration.ts";
import { EMPTY_LOAD_REPORT } from "../../../src/scheduling/runner-balancing/empty-load-report.ts";
import { RunnerBalancer } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import type { SimulatedNetwork, SimulatedTransport } from "../simulated-network.ts";
import type { SimulatedProcess } from "../virtual-time.ts";
import type { SimulatedRowStore } from "./simulated-row-store.ts";

/** The table and key of the row that holds the configuration. */
export const CONFIGURATION_TABLE = "configuration";
export const CONFIGURATION_KEY = "newest";

/** The table with one row for each runner. */
export const RUNNER_TABLE = "runners";
/** Callers take a stream up within this time after its beginning, in ms. */
export const STREAM_LIFETIME_MS = 10_000;

const RECORDS: PlatformRecords = {
  configurationTable: CONFIGURATION_TABLE,
  configurationKey: CONFIGURATION_KEY,
  runnerTable: RUNNER_TABLE,
  parseConfiguration: (value) => JSON.parse(value.toString("utf8")) as RoutingConfiguration,
  parseRunner: (_name, value) => JSON.parse(value.toString("utf8")) as RunnerEntry,
};

/** The simulation calls the gateway's components directly, not over HTTP. */
const NO_CALLERS = {} as Pick<GatewayPlatform, "calls" | "entry">;

/** Settings and simulated dependencies of a gateway. */
export interface SimulatedGatewayParts {
  readonly settings: GatewaySettings;
  readonly instance: string;
  readonly process: SimulatedProcess;
  readonly store: SimulatedRowStore;
  readonly network: SimulatedNetwork<GatewayMessage>;
  readonly random: RandomSource;
  readonly hash: TextHash;
}

/** Creates and connects a gateway's components in a simulated process. */
export class SimulatedGateway {
  readonly process: SimulatedProcess;
  readonly store: SimulatedRowStore;
  readonly client: PartitionClient;
  readonly routing: RoutingWatch;
  readonly rates: RateClient;
  readonly board = new RunnerBalancer();
  readonly streams: StreamOrigins;
  readonly guard: PoisonGuard;
  /** What a connection to an address of runners shows. */
  probe: (address: string) => Promise<ConnectionProbe> = async () => "accepted";
  readonly #runners: RunnerWatch;
  readonly #rateHost: RateHost;
  readonly #transport: SimulatedTransport<GatewayMessage>;
  readonly #rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly #relayed: RelayedRowStore;
  readonly #members: MemberDirectory;
  readonly #registry: MemberRegistry;
  readonly #host: PartitionHost;
  #stopping = false;

  constructor(parts: SimulatedGatewayParts) {
    const { settings, instance, process, store, network, random, hash } = parts;
    const address = settings.listen.peers;
    const log = pino({ level: "silent" });
    this.#transport = network.attach(process, { instance, address });
    this.#rpc = new RpcEndpoint<GatewayRpcSchema>(this.#transport, process, random);
    this.#relayed = new RelayedRowStore({ direct: store, clock: process, random, rpc: this.#rpc, log });
    const platform = { store: this.#relayed, records: RECORDS, ...NO_CALLERS };
    const metrics = new NoMetrics();
    const context: GatewayContext = {
      settings,
      instance,
      clock: process,
      random,
      hash,
      log,
      metrics,
      platform,
    };
    this.process = process;
    this.store = store;
    const health = new StoreHealth(context);
    this.#members = new MemberDirectory(context, this.#transport, health);
    this.#registry = new MemberRegistry(context, this.#members, address);
    this.#host = new PartitionHost(context, this.#members, health, this.#rpc);
    this.routing = new RoutingWatch(context, health);
    this.#rateHost = new RateHost(context, this.#members, this.#host, this.#rpc);
    this.rates = new RateClient(context, this.#members, this.#host, this.#rpc);
    this.#runners = new RunnerWatch(context, health, this.board);
    this.streams = new StreamOrigins({
      context,
      members: this.#members,
      rpc: this.#rpc,
      transport: this.#transport,
      versions: this.#runners.versions,
      streamLifetimeMs: () => STREAM_LIFETIME_MS,
    });
    this.guard = new PoisonGuard({
      context,
      members: this.#members,
      rpc: this.#rpc,
      transport: this.#transport,
      detector: new RunnerEndDetector({ isListed: () => true }, (runner) => this.probe(runner)),
    });
    this.client = new PartitionClient(context, this.#members, this.#host, this.#rpc, health);
    this.#members.selfReport = () => ({
      state: this.state,
      storeDirect: this.#relayed.isDirect,
      owned: this.#host.owned,
      runners: EMPTY_LOAD_REPORT,
    });
    this.#relayed.relays = () => this.#members.storeRelays();
    this.#relayed.answerTimeoutMs = () => health.writeTimeout.currentMs;
    this.#wire();
  }

  get state(): GatewayState {
    if (this.#stopping) return "stopping";
    return this.routing.routes ? "ready" : "starting";
  }

  /** Whether the gateway is running and has a configuration, so that callers can use it. */
  get serves(): boolean {
    return this.process.alive && !this.process.frozen && this.routing.routes !== undefined;
  }

  start(): void {
    this.routing.start();
    this.#members.start();
    this.#registry.start();
    this.#host.start();
    this.#rateHost.start();
    this.#runners.start();
    this.streams.start();
  }

  /** Stops as planned: announces the stop and releases the owned partitions. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.#members.tick();
    await this.#host.release();
    this.#members.tick();
  }

  #wire(): void {
    this.#members.onHeard = (member) => {
      this.#host.learn(member);
      this.#relayed.updateRelay(member.instance, member.status.storeDirect);
      this.guard.onMember(member.instance, member.address);
    };
    this.#members.onLost = (member) => {
      this.#host.forget(member);
      this.#relayed.removeRelay(member.instance);
      this.guard.onMemberLost(member.instance);
      this.#rpc.failPending(member.address);
    };
    this.#transport.onDisconnected((address, reason) => {
      this.#rpc.failPending(address);
      this.#members.onDisconnected(address, reason);
    });
    this.#transport.onMessage((message, from) => {
      if (message.type === "heartbeat") this.#members.onHeartbeat(message, from);
      else if (message.type === "memberDigest") this.#members.onDigest(message, from);
      else if (message.type === "streamsBegun") this.streams.onStreamsBegun(message);
      else if (message.type === "suspectRunEnded") this.guard.onRunEnded(message);
      else if (message.type === "runnerReserved") this.guard.onRunnerReserved(message);
      else if (message.type === "suspectCleared") this.guard.onCleared(message);
      else if (message.type === "suspectsKnown") this.guard.onSuspectsKnown(message);
      else if (message.type === "rpcRequest") void this.#rpc.onRequest(message, from);
      else if (message.type === "rpcResponse") this.#rpc.onResponse(message);
    });
  }
}
