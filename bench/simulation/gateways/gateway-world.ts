/** The gateways, the store and the network of one simulation. */
import type { RateTolerance } from "../../../src/coordination/request-rate/index.ts";
import type { GatewayMessage } from "../../../src/gateway/gateway-messages.ts";
import { gatewaySettingsSchema } from "../../../src/gateway/gateway-settings.ts";
import { decodeOwner, ownerKey } from "../../../src/gateway/partitions/partition-rows.ts";
import { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { Tenant } from "../../../src/scheduling/routing/tenant.ts";
import { SimulatedNetwork } from "../simulated-network.ts";
import { SimulatedProcess, VirtualTime } from "../virtual-time.ts";
import { ReachabilityRecord } from "./reachability-record.ts";
import { CONFIGURATION_KEY, CONFIGURATION_TABLE, SimulatedGateway } from "./simulated-gateway.ts";
import { SharedStore, SimulatedRowStore } from "./simulated-row-store.ts";

const ZONES = 3;
const PARTITIONS = 8;
const UNUSED = "127.0.0.1:1";
const SEED_SPREAD = 1_000;

/** The number of gateways, and the largest number that exchange heartbeats without relays. */
export interface GatewayFleet {
  readonly gateways: number;
  readonly directMost: number;
}

/** Settings for tenants' keys and request limits. */
export interface GatewayTenancy {
  readonly revokeMs: number;
  readonly tolerance: RateTolerance;
}

/** A small fleet, in which each gateway sends its heartbeats to all others. */
export const SMALL_FLEET: GatewayFleet = { gateways: 5, directMost: 24 };
/** A fleet that is large enough for relays: two of the four gateways of each zone. */
export const RELAYED_FLEET: GatewayFleet = { gateways: 12, directMost: 4 };

/** Starts the gateways and gives access to their processes, store and network. */
export class GatewayWorld {
  readonly time = new VirtualTime();
  readonly store: SharedStore;
  readonly network: SimulatedNetwork<GatewayMessage>;
  readonly gateways: SimulatedGateway[] = [];
  readonly random: SeededRandomSource;
  readonly hash: TextHash;
  readonly reachability = new ReachabilityRecord();
  readonly #seed: number;
  readonly #fleet: GatewayFleet;
  readonly #tenancy: GatewayTenancy | undefined;
  #tenants: readonly Tenant[] | undefined;
  #starts = 0;
  #version = 0;
  /** The virtual time at which each version was confirmed, in ms; oldest first. */
  readonly #confirmed: { readonly version: number; readonly atMs: number }[] = [];

  constructor(seed: number, hash: TextHash, fleet: GatewayFleet = SMALL_FLEET, tenancy?: GatewayTenancy) {
    this.#seed = seed;
    this.#fleet = fleet;
    this.#tenancy = tenancy;
    this.hash = hash;
    this.random = new SeededRandomSource(seed);
    this.store = new SharedStore(this.time, new SeededRandomSource(seed + SEED_SPREAD));
    this.network = new SimulatedNetwork(this.time, new SeededRandomSource(seed + 2 * SEED_SPREAD));
    this.network.reportsDeadReceivers = true;
    this.configure();
    for (let index = 0; index < fleet.gateways; index += 1) this.start(index);
  }

  /** The newest configuration version that was written. */
  get version(): number {
    return this.#version;
  }

  /** The newest version that was confirmed by `atMs` of virtual time. */
  versionAt(atMs: number): number {
    return this.#confirmed.findLast((confirmed) => confirmed.atMs <= atMs)?.version ?? 0;
  }

  /** Writes a new version of the configuration, with the given tenants or those of the previous version. */
  configure(tenants = this.#tenants): void {
    this.#tenants = tenants;
    this.#version += 1;
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const text = JSON.stringify({ version: this.#version, routes: [], pools: [], limits, tenants });
    const value = Buffer.from(text).toString("base64");
    const row = { table: CONFIGURATION_TABLE, part: "", key: CONFIGURATION_KEY, value };
    this.store.model.transact({ conditions: [], puts: [row], removes: [] });
    this.#confirmed.push({ version: this.#version, atMs: this.time.nowMs });
  }

  /** Starts or restarts a gateway. */
  start(index: number): void {
    this.#starts += 1;
    const name = `gateway-${index}`;
    const zone = `zone-${index % ZONES}`;
    const process = new SimulatedProcess(name, zone, this.time);
    const settings = gatewaySettingsSchema.parse({
      name,
      region: "region",
      zone,
      listen: { callers: UNUSED, readiness: UNUSED, directory: UNUSED, peers: addressOf(index) },
      seeds: [0, 1, 2].map(addressOf),
      store: UNUSED,
      partitions: PARTITIONS,
      membership: { directMost: this.#fleet.directMost },
      ...this.#tenancySettings(),
    });
    const gateway = new SimulatedGateway({
      settings,
      instance: `${name}#${this.#starts}`,
      process,
      store: new SimulatedRowStore(this.store, process),
      network: this.network,
      random: new SeededRandomSource(this.#seed * SEED_SPREAD + this.#starts),
      hash: this.hash,
    });
    this.gateways[index] = gateway;
    gateway.start();
  }

  #tenancySettings(): object {
    if (!this.#tenancy) return {};
    const { revokeMs, tolerance } = this.#tenancy;
    return { keys: { revokeMs }, requestLimits: tolerance };
  }

  /** The gateway instance that owns each partition, as recorded in the store. */
  owners(): [partition: number, instance: string][] {
    const owners: [number, string][] = [];
    for (let partition = 0; partition < PARTITIONS; partition += 1) {
      const { table, part } = ownerKey(partition);
      const [row] = this.store.model.read(table, part, "", undefined);
      const owner = row && decodeOwner(Buffer.from(row.value ?? "", "base64"));
      if (owner) owners.push([partition, owner.instance]);
    }
    return owners;
  }

  /** A random gateway among those that serve, or undefined if there is none. */
  drawServing(): SimulatedGateway | undefined {
    const serving = this.gateways.filter((gateway) => gateway.serves);
    return serving.length === 0 ? undefined : serving[this.random.below(serving.length)];
  }
}

function addressOf(index: number): string {
  return `10.0.0.${index + 1}:7000`;
}
