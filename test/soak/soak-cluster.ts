/** Gateways as separate processes whose links to callers, the store and runners lead through proxies. */
import {
  GatewayCluster,
  type TestConfiguration,
  type TestGateway,
  type TestLink,
} from "../process/support/gateway-cluster.ts";
import { TestAddresses } from "../process/support/test-addresses.ts";
import { LoopbackProxy } from "./loopback-proxy.ts";
import { REVOKE_MS, SoakTenants, TOLERANCE } from "./soak-tenants.ts";

/** Dispatchers hand out places from the first call on: their failures are what the soak is for, not how scarce places are. */
const ALWAYS_DISPATCHED = { dispatchBelow: 1_000, scarceFrom: 0 };

/** A process of a gateway that was stopped or killed. */
export interface SignalledProcess {
  readonly gateway: TestGateway;
  readonly process: TestGateway["process"];
}

/** See the module's comment. */
export class SoakCluster extends GatewayCluster {
  /** Is told when all gateways are killed at once. */
  onAllKilled: () => void = () => {};
  readonly tenants = new SoakTenants();
  /** By the gateway's name. */
  readonly storeLinks = new Map<string, LoopbackProxy>();
  /** By the runner's name. */
  readonly runnerLinks = new Map<string, LoopbackProxy>();
  /** By the gateway's name. */
  readonly callerLinks = new Map<string, LoopbackProxy>();
  readonly #proxyAddresses: TestAddresses;
  readonly #callerAddresses = new Map<string, string>();

  private constructor(addresses: TestAddresses, proxyAddresses: TestAddresses) {
    super(addresses);
    this.#proxyAddresses = proxyAddresses;
  }

  /** Starts everything, and waits until all gateways are ready. */
  static override async start(gateways: number, engines: number, services: number): Promise<SoakCluster> {
    const cluster = new SoakCluster(new TestAddresses(), new TestAddresses());
    await cluster.startAll(gateways, engines, services);
    for (const gateway of cluster.gateways) {
      const address = cluster.#proxyAddresses.next();
      const link = new LoopbackProxy(gateway.addresses.callers);
      await link.listen(address);
      cluster.callerLinks.set(gateway.name, link);
      cluster.#callerAddresses.set(gateway.name, address);
    }
    return cluster;
  }

  /** A gateway as callers reach it. */
  throughProxy(gateway: TestGateway): TestGateway {
    const callers = this.#callerAddresses.get(gateway.name) ?? gateway.addresses.callers;
    return { ...gateway, addresses: { ...gateway.addresses, callers } };
  }

  /** Stops or kills gateways, all at once; returns the processes that were struck. */
  signalAll(gateways: readonly TestGateway[], signal: "SIGTERM" | "SIGKILL"): SignalledProcess[] {
    if (signal === "SIGKILL" && gateways.length === this.gateways.length) this.onAllKilled();
    return gateways.map((gateway) => {
      gateway.process.signal(signal);
      return { gateway, process: gateway.process };
    });
  }

  /** Starts a gateway again once the process has ended, unless something else did, or the cluster is being ended. */
  async restartOnceEnded({ gateway, process }: SignalledProcess): Promise<void> {
    await process.exited;
    if (gateway.process === process && !this.stopped) this.restart(gateway);
  }

  override async stop(): Promise<void> {
    const links = [this.storeLinks, this.runnerLinks, this.callerLinks];
    for (const link of links.flatMap((map) => [...map.values()])) link.close();
    await super.stop();
  }

  protected override get extraSettings(): object {
    return { keys: { revokeMs: REVOKE_MS }, requestLimits: TOLERANCE, places: ALWAYS_DISPATCHED };
  }

  protected override get initialTenants(): Pick<TestConfiguration, "tenants"> {
    return { tenants: this.tenants.configured };
  }

  protected override async linkAddress(address: string, { side, name }: TestLink): Promise<string> {
    const proxyAddress = this.#proxyAddresses.next();
    const link = new LoopbackProxy(address);
    await link.listen(proxyAddress);
    (side === "store" ? this.storeLinks : this.runnerLinks).set(name, link);
    return proxyAddress;
  }
}
