/**
 * Gateways that compete for the places of a few runners, on virtual time. They have membership, dispatchers and place
 * clients, but no HTTP.
 */
import { pino } from "pino";
import { SimulatedNetwork } from "../../../bench/simulation/simulated-network.ts";
import { SimulatedProcess, VirtualTime } from "../../../bench/simulation/virtual-time.ts";
import type { GatewayContext, GatewayPlatform } from "../../../src/gateway/gateway-context.ts";
import type {
  GatewayMessage,
  GatewayRpcSchema,
  GatewayState,
} from "../../../src/gateway/gateway-messages.ts";
import { gatewaySettingsSchema } from "../../../src/gateway/gateway-settings.ts";
import { MemberDirectory } from "../../../src/gateway/members/member-directory.ts";
import { DispatcherDirectory } from "../../../src/gateway/places/dispatcher-directory.ts";
import type { PendingPlaceRequest } from "../../../src/gateway/places/pending-place-request.ts";
import { PlaceClient } from "../../../src/gateway/places/place-client.ts";
import { PlaceHost } from "../../../src/gateway/places/place-host.ts";
import type { PlaceVerdict } from "../../../src/gateway/places/place-verdict.ts";
import type { PoolScarcity } from "../../../src/gateway/places/pool-scarcity.ts";
import { RunnerGroups } from "../../../src/gateway/places/runner-groups.ts";
import { TenantWeights } from "../../../src/gateway/places/tenant-weights.ts";
import { StoreHealth } from "../../../src/gateway/store-health.ts";
import { NoMetrics } from "../../../src/gateway/telemetry/no-metrics.ts";
import type { PlaceRecord } from "../../../src/gateway/telemetry/place-record.ts";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../../src/runtime/rpc.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { PlaceCall } from "../../../src/scheduling/place-queue/index.ts";
import { RunnerBalancer } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import { runnerEntry } from "./runner-entry.ts";

export const POOL = { name: "p", maxConnections: 100, engine: undefined };
const ALWAYS_SCARCE = { isScarce: () => true } as unknown as PoolScarcity;
const DEFAULT_CALL = {
  route: "turn",
  tenant: undefined,
  program: undefined,
  rank: 0,
  hasBegun: true,
  dueInMs: 5_000,
  patienceMs: 1_500,
  tokens: 0,
  preferred: undefined,
  excluded: [],
};

/** A gateway of the fleet. */
export interface PlaceMember {
  readonly name: string;
  readonly instance: string;
  readonly process: SimulatedProcess;
  readonly board: RunnerBalancer;
  readonly client: PlaceClient;
  readonly dispatchers: DispatcherDirectory;
  /** Begins a planned stop. */
  readonly stop: () => void;
}

/** A call and the outcome of its request for a place. */
export interface PlacedCall {
  readonly placeRequest: PendingPlaceRequest;
  verdict: PlaceVerdict["type"] | undefined;
  record: PlaceRecord | undefined;
  runner: RunnerId | undefined;
}

export class PlaceFleet {
  readonly time = new VirtualTime();
  readonly network = new SimulatedNetwork<GatewayMessage>(this.time, new SeededRandomSource(1));
  readonly members: PlaceMember[] = [];
  /** The number of calls at each runner now. */
  readonly callsByRunner = new Map<RunnerId, number>();
  /** The highest number of calls that any runner has had at the same time. */
  maxCallsPerRunner = 0;
  readonly #hash: TextHash;
  readonly #runners: readonly RunnerId[];
  readonly #slots: number;
  readonly #oldBuilds: ReadonlySet<number>;
  #lastNumber = 0;

  /** @param oldBuilds indexes of gateways that run a build without dispatchers */
  constructor(
    hash: TextHash,
    count: number,
    runners: number,
    slots: number,
    oldBuilds: readonly number[] = [],
  ) {
    this.#hash = hash;
    this.#runners = Array.from({ length: runners }, (_, index) => `r${index}` as RunnerId);
    this.#slots = slots;
    this.#oldBuilds = new Set(oldBuilds);
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  /** Starts or restarts a gateway. */
  start(index: number): void {
    this.#lastNumber += 1;
    const name = `gateway-${index}`;
    const instance = `${name}#${this.#lastNumber}`;
    const process = new SimulatedProcess(name, "zone", this.time);
    const peers = addressOf(index);
    const settings = gatewaySettingsSchema.parse({
      name,
      region: "region",
      zone: "zone",
      listen: { callers: peers, readiness: peers, directory: peers, peers },
      seeds: [0, 1, 2].map(addressOf),
      store: peers,
    });
    const context: GatewayContext = {
      settings,
      instance,
      clock: process,
      random: new SeededRandomSource(this.#lastNumber),
      hash: this.#hash,
      log: pino({ level: "silent" }),
      metrics: new NoMetrics(),
      platform: {} as GatewayPlatform,
    };
    const transport = this.network.attach(process, { instance, address: peers });
    const members = new MemberDirectory(context, transport, new StoreHealth(context));
    const rpc = new RpcEndpoint<GatewayRpcSchema>(transport, process, context.random);
    const board = new RunnerBalancer();
    for (const id of this.#runners)
      board.upsert(runnerEntry(id, { pool: POOL.name, zone: "zone", slots: this.#slots }));
    const groups = new RunnerGroups(context, board);
    const dispatchers = new DispatcherDirectory(context, members);
    const parts = { context, board, groups, dispatchers, rpc, transport };
    const weights = new TenantWeights(() => undefined);
    const host = new PlaceHost({ ...parts, weights, memoryTokens: () => undefined });
    const client = new PlaceClient({ ...parts, scarcity: ALWAYS_SCARCE });
    let state: GatewayState = "ready";
    members.selfReport = () => ({
      state,
      storeDirect: false,
      owned: [],
      runners: board.ownReport(process.monotonicMs()),
    });
    members.onLoads = (source, report) => board.recordReport(source, report, process.monotonicMs());
    members.sumLoads = (sources) => board.sumReports(sources);
    members.onLost = (member) => {
      board.dropReport(member.instance);
      host.onGatewayLost(member.instance);
      client.onGatewayLost(member.instance);
      rpc.failPending(member.address);
    };
    const isOld = this.#oldBuilds.has(index);
    transport.onMessage((message, from) => {
      if (message.type === "heartbeat") members.onHeartbeat(this.#asSentByBuild(message), from);
      else if (message.type === "memberDigest") members.onDigest(message, from);
      else if (isOld) return;
      else if (message.type === "placeSettled") client.onSettled(message, from);
      else if (message.type === "returnPlaces") host.onReturned(message);
      else if (message.type === "rpcRequest") void rpc.onRequest(message, from);
      else if (message.type === "rpcResponse") rpc.onResponse(message);
    });
    const stop = () => {
      state = "stopping";
      members.tick();
    };
    this.members[index] = { name, instance, process, board, client, dispatchers, stop };
    members.start();
    host.start();
  }

  /** The gateway with an index. */
  at(index: number): PlaceMember {
    return this.members[index] as PlaceMember;
  }

  /** The gateway that a member considers the dispatcher. */
  dispatcherOf(member: PlaceMember): PlaceMember {
    const name = member.dispatchers.of(POOL.name, 0)?.name;
    return this.members.find((other) => other.name === name) as PlaceMember;
  }

  /** Makes a call through a gateway; the call holds its place for `holdMs`. */
  call(member: PlaceMember, holdMs: number, overrides: Partial<PlaceCall> = {}): PlacedCall {
    this.#lastNumber += 1;
    const request = `q${this.#lastNumber}` as RequestId;
    const placed = { verdict: undefined, record: undefined, runner: undefined } as unknown as PlacedCall;
    const placeRequest = member.client.requestPlace({
      pool: POOL,
      describe: () => ({ ...DEFAULT_CALL, request, ...overrides }),
      onVerdict: (verdict, record) => {
        Object.assign(placed, { verdict: verdict.type, record });
        this.#run(member, verdict, placed, holdMs);
      },
    });
    return Object.assign(placed, { placeRequest });
  }

  #run(member: PlaceMember, verdict: PlaceVerdict, placed: PlacedCall, holdMs: number): void {
    if (verdict.type === "refused") return;
    const { board, process } = member;
    const choice = { pool: POOL.name, zone: "zone", excluded: new Set<RunnerId>(), preferred: undefined };
    const isGranted = verdict.type === "granted";
    const nowMs = process.monotonicMs();
    const runner = isGranted ? verdict.runner : board.choose({ ...choice, nowMs, sample: 0.5 });
    if (!runner) return;
    placed.runner = runner.id;
    const pending = board.recordStart(runner.id, nowMs, 1_000, isGranted);
    this.#countCall(runner.id, 1);
    this.time.after(holdMs, () => this.#countCall(runner.id, -1));
    process.schedule(holdMs, () => {
      board.recordEnd(pending, "success", process.monotonicMs());
      if (isGranted) verdict.place.release(false);
    });
  }

  #countCall(runner: RunnerId, change: number): void {
    const calls = (this.callsByRunner.get(runner) ?? 0) + change;
    this.callsByRunner.set(runner, calls);
    this.maxCallsPerRunner = Math.max(this.maxCallsPerRunner, calls);
  }

  /** The heartbeat as the sender's build sends it: builds without dispatchers do not report a protocol version. */
  #asSentByBuild<Kind extends Extract<GatewayMessage, { type: "heartbeat" }>>(heartbeat: Kind): Kind {
    const index = this.members.findIndex(({ name }) => name === heartbeat.name);
    if (!this.#oldBuilds.has(index)) return heartbeat;
    const { protocol: _, ...older } = heartbeat;
    return older as Kind;
  }
}

function addressOf(index: number): string {
  return `10.0.0.${index + 1}:7000`;
}
