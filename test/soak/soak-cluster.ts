/** Runs gateways as separate processes with a proxy on each link to callers, the store and runners. */
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import {
  GatewayCluster,
  pause,
  type TestConfiguration,
  type TestGateway,
  type TestLink,
} from "../process/support/gateway-cluster.ts";
import { TestAddresses } from "../process/support/test-addresses.ts";
import { LoopbackProxy } from "./loopback-proxy.ts";
import { REVOKE_MS, SoakTenants, TOLERANCE } from "./soak-tenants.ts";

/** Dispatchers assign places from the first call on: the soak tests their failures, not the detection of scarcity. */
const ALWAYS_DISPATCHED = { dispatchBelow: 1_000, scarceFrom: 0 };

/** Time from the end of a runner until its entry leaves, and then until another one starts, in ms. */
const ENTRY_DELAY_MS = 100;
const RESTART_MS = 200;

/** A gateway process that was sent SIGTERM or SIGKILL. */
export interface SignalledProcess {
  readonly gateway: TestGateway;
  readonly process: TestGateway["process"];
}

/** A gateway cluster whose links can be disturbed through proxies. */
export class SoakCluster extends GatewayCluster {
  /** Called when all gateways are killed at once. */
  onAllKilled: () => void = () => {};
  /** Called when a check within a fault finds a broken promise. */
  onBroken: (promise: string, detail: string) => void = () => {};
  /** Identifiers of the requests that faults have sent. */
  readonly sentByFaults = new Set<string>();
  /** Number of gateway processes that were killed. */
  killedGateways = 0;
  readonly tenants = new SoakTenants();
  /** By the gateway's name. */
  readonly storeLinks = new Map<string, LoopbackProxy>();
  /** By the runner's name. */
  readonly runnerLinks = new Map<string, LoopbackProxy>();
  /** By the gateway's name. */
  readonly callerLinks = new Map<string, LoopbackProxy>();
  #starts = 0;
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

  /** Returns the gateway with the proxy's address in place of its address for callers. */
  throughProxy(gateway: TestGateway): TestGateway {
    const callers = this.#callerAddresses.get(gateway.name) ?? gateway.addresses.callers;
    return { ...gateway, addresses: { ...gateway.addresses, callers } };
  }

  /** Runners that have not ended. */
  get runningRunners(): RunnerStandin[] {
    return [...this.engines, ...this.services].filter(({ hasEnded }) => !hasEnded);
  }

  /** Number of runners that a request with this content, which ends its runners, has ended. */
  endedUnder(content: string): number {
    const runners = [...this.engines, ...this.services];
    const ended = runners.filter(({ executedRequests, endedBy }) => {
      return executedRequests.some((run) => run.id === endedBy && run.body.endsWith(content));
    });
    return ended.length;
  }

  /** When a runner ends, its link refuses connections, its entry leaves, and another runner starts in its place. */
  override async startRunner(runner: RunnerStandin, service: string, port = 0): Promise<void> {
    runner.onEnded = () => void this.#replaceRunner(runner, service);
    await super.startRunner(runner, service, port);
  }

  async #replaceRunner(ended: RunnerStandin, service: string): Promise<void> {
    this.runnerLinks.get(ended.id)?.close();
    await pause(ENTRY_DELAY_MS);
    if (this.stopped) return;
    this.store.remove("servers", ended.id);
    await pause(RESTART_MS);
    if (this.stopped) return;
    this.#starts += 1;
    const next = new RunnerStandin(`${ended.id.split("+")[0]}+${this.#starts}`, ended.version);
    (service === "engine" ? this.engines : this.services).push(next);
    await this.startRunner(next, service);
  }

  /** Sends a signal to all given gateways at once; returns the processes that received it. */
  signalAll(gateways: readonly TestGateway[], signal: "SIGTERM" | "SIGKILL"): SignalledProcess[] {
    if (signal === "SIGKILL" && gateways.length === this.gateways.length) this.onAllKilled();
    if (signal === "SIGKILL") this.killedGateways += gateways.length;
    return gateways.map((gateway) => {
      gateway.process.signal(signal);
      return { gateway, process: gateway.process };
    });
  }

  /** Restarts a gateway once its process has ended, unless it was restarted already or the cluster is being stopped. */
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
