/** Gateways reduced to their membership messages, in virtual time, for tests and for measurements by fleet size. */

import { Encoder } from "cbor-x";
import { pino } from "pino";
import type { GatewayContext, GatewayPlatform } from "../../../src/gateway/gateway-context.ts";
import type { GatewayMessage } from "../../../src/gateway/gateway-messages.ts";
import { gatewaySettingsSchema } from "../../../src/gateway/gateway-settings.ts";
import { MemberDirectory } from "../../../src/gateway/members/member-directory.ts";
import { StoreHealth } from "../../../src/gateway/store-health.ts";
import { NoMetrics } from "../../../src/gateway/telemetry/no-metrics.ts";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { RunnerId } from "../../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../../src/scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../../src/scheduling/ids/software-version.ts";
import { RunnerBalancer } from "../../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerCostModel } from "../../../src/scheduling/runner-balancing/runner-cost-model.ts";
import { SimulatedNetwork } from "../simulated-network.ts";
import { SimulatedProcess, VirtualTime } from "../virtual-time.ts";

/** Default number of zones. */
export const DEFAULT_ZONES = 4;
const ADDRESSES_PER_BYTE = 250;

/** A gateway of the fleet. */
export interface FleetMember {
  readonly name: string;
  readonly process: SimulatedProcess;
  readonly directory: MemberDirectory;
  readonly balancer: RunnerBalancer;
}

/** Optional settings for how members balance load over runners. */
export interface FleetBalance {
  readonly newCost?: () => RunnerCostModel;
  /** The headroom that a member reports, by its index. */
  readonly headroomOf?: (index: number) => number;
}

/** Runners that every member's balancer contains. */
export const FLEET_RUNNERS = ["r1", "r2"] as [RunnerId, RunnerId];

/** Runs the member directories and runner balancers of a fleet of gateways. */
export class MemberFleet {
  readonly time = new VirtualTime();
  readonly network = new SimulatedNetwork<GatewayMessage>(this.time, new SeededRandomSource(1));
  readonly members: FleetMember[] = [];
  readonly #hash: TextHash;
  readonly #directMost: number;
  readonly #zones: number;
  readonly #balance: FleetBalance;
  readonly #encoder = new Encoder({ structures: [] });
  #starts = 0;
  /** Number of messages that arrived. */
  messages = 0;
  /** Their size in the transport's encoding, by the receiver's name; counted only while `countsBytes` is set. */
  readonly bytes = new Map<string, number>();
  countsBytes = false;

  constructor(
    hash: TextHash,
    count: number,
    directMost: number,
    zones = DEFAULT_ZONES,
    balance: FleetBalance = {},
  ) {
    this.#balance = balance;
    this.#hash = hash;
    this.#directMost = directMost;
    this.#zones = zones;
    this.network.reportsDeadReceivers = true;
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  /** Starts or restarts a gateway. */
  start(index: number): void {
    this.#starts += 1;
    const name = `gateway-${index}`;
    const zone = `zone-${index % this.#zones}`;
    const process = new SimulatedProcess(name, zone, this.time);
    const peers = fleetAddress(index);
    const settings = gatewaySettingsSchema.parse({
      name,
      region: "region",
      zone,
      listen: { callers: peers, readiness: peers, directory: peers, peers },
      seeds: [0, 1, 2].map(fleetAddress),
      store: peers,
      membership: { directMost: this.#directMost },
      balance: { byHeadroom: this.#balance.headroomOf !== undefined },
    });
    const instance = `${name}#${this.#starts}`;
    const context: GatewayContext = {
      settings,
      instance,
      clock: process,
      random: new SeededRandomSource(index),
      hash: this.#hash,
      log: pino({ level: "silent" }),
      metrics: new NoMetrics(),
      platform: {} as GatewayPlatform,
    };
    const transport = this.network.attach(process, { instance, address: peers });
    const directory = new MemberDirectory(context, transport, new StoreHealth(context));
    const balancer = new RunnerBalancer(this.#balance.newCost?.());
    const entry = {
      startedAtMs: undefined,
      pool: "p",
      address: "a",
      zone,
      version: "v1" as SoftwareVersion,
      slots: 8,
      state: "ready",
    } as const;
    for (const id of FLEET_RUNNERS) balancer.upsert({ ...entry, id, name: id as string as RunnerName });
    directory.selfReport = () => ({
      state: "ready",
      storeDirect: false,
      owned: [],
      runners: balancer.ownReport(process.monotonicMs()),
      headroom: this.#balance.headroomOf?.(index),
    });
    directory.onLoads = (source, report) => balancer.recordReport(source, report, process.monotonicMs());
    directory.sumLoads = (sources) => balancer.sumReports(sources);
    directory.onLost = (member) => balancer.dropReport(member.instance);
    transport.onDisconnected((address, reason) => directory.onDisconnected(address, reason));
    transport.onMessage((message, from) => {
      this.messages += 1;
      if (this.countsBytes)
        this.bytes.set(name, (this.bytes.get(name) ?? 0) + this.#encoder.encode(message).length);
      if (message.type === "heartbeat") directory.onHeartbeat(message, from);
      if (message.type === "memberDigest") directory.onDigest(message, from);
    });
    this.members[index] = { name, process, directory, balancer };
    directory.start();
  }

  /** The smallest and the largest number of gateways in the directories of the running gateways. */
  named(): [least: number, most: number] {
    const counts = this.alive().map(({ directory }) => directory.callerAddresses(undefined).length);
    return [Math.min(...counts), Math.max(...counts)];
  }

  /** Gateways that are alive and not frozen. */
  alive(): FleetMember[] {
    return this.members.filter(({ process }) => process.alive && !process.frozen);
  }
}

/** The address of a gateway of the fleet. */
export function fleetAddress(index: number): string {
  const third = Math.floor(index / ADDRESSES_PER_BYTE);
  return `10.0.${third}.${(index % ADDRESSES_PER_BYTE) + 1}:7000`;
}
