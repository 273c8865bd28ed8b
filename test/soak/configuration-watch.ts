/** Changes the configuration during a soak, and checks that gateways apply it in time and never revert it. */
import { APPLY_LIMIT_MS, REACHABLE_AFTER_MS } from "../../bench/simulation/gateways/reachability-record.ts";
import { pause, type TestGateway } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { SoakLedger } from "./soak-ledger.ts";
import { soakRequest } from "./soak-request.ts";

const CHANGE_EVERY_MS = 4_000;
const LOOK_EVERY_MS = 400;
/** Number of versions for which a route stays in the configuration. */
const VERSIONS_KEPT = 50;
const TIMEOUT_MS = 3_000;
const PROBE_TIMEOUT_MS = 1_000;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Writes new configuration versions and probes each gateway for the route of the newest one. */
export class ConfigurationWatch {
  readonly #cluster: SoakCluster;
  readonly #ledger: SoakLedger;
  /** Newest version whose route a process was seen to serve, by process. */
  readonly #seen = new Map<object, number>();
  #version = 1;
  /** When the newest version was confirmed, by the ledger's clock. */
  #changedMs = 0;
  #probes = 0;

  constructor(cluster: SoakCluster, ledger: SoakLedger) {
    this.#cluster = cluster;
    this.#ledger = ledger;
  }

  /** Changes and checks the configuration until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    let changedMs = 0;
    while (!isOver()) {
      if (performance.now() - changedMs > CHANGE_EVERY_MS) {
        this.#change();
        changedMs = performance.now();
      }
      await Promise.all(this.#cluster.gateways.map((gateway) => this.#check(gateway)));
      await pause(LOOK_EVERY_MS);
    }
  }

  /** Checks that every gateway has the newest version. Call it after all faults. */
  async checkNewest(): Promise<void> {
    for (const gateway of this.#cluster.gateways) {
      const status = await this.#probe(gateway, this.#version);
      if (status === NOT_FOUND || status === 0)
        this.#ledger.recordBroken(
          "configuration",
          `${gateway.name} answers ${status} for version ${this.#version}`,
        );
    }
  }

  #change(): void {
    this.#version += 1;
    const first = Math.max(2, this.#version - VERSIONS_KEPT);
    const added: string[] = [];
    for (let version = first; version <= this.#version; version += 1) added.push(pathOf(version));
    const { tenants } = this.#cluster;
    tenants.change(this.#ledger.nowMs);
    const routes = { version: this.#version, timeoutMs: TIMEOUT_MS, added, tenants: tenants.configured };
    this.#cluster.configure(routes);
    this.#changedMs = this.#ledger.nowMs;
  }

  async #check(gateway: TestGateway): Promise<void> {
    const { process } = gateway;
    const version = this.#version;
    const isDue =
      this.#ledger.calmForMs > REACHABLE_AFTER_MS && this.#ledger.nowMs - this.#changedMs > APPLY_LIMIT_MS;
    const status = await this.#probe(gateway, version);
    if (gateway.process !== process || status === 0 || status === UNAVAILABLE) return;
    const seen = this.#seen.get(process) ?? 0;
    if (status !== NOT_FOUND) this.#seen.set(process, Math.max(seen, version));
    else if (seen >= version)
      this.#ledger.recordBroken("configuration", `${gateway.name} went back before ${version}`);
    else if (isDue) this.#ledger.recordBroken("configuration", `${gateway.name} is late with ${version}`);
  }

  async #probe(gateway: TestGateway, version: number): Promise<number> {
    this.#probes += 1;
    const id = `probe-${this.#probes}`;
    const reached = this.#cluster.throughProxy(gateway);
    const headers = { "X-Request-Id": id };
    const { status, whole } = await soakRequest(reached, pathOf(version), headers, id, PROBE_TIMEOUT_MS);
    this.#ledger.note({ id, kind: "probe", gateway: gateway.name, status, whole });
    return status;
  }
}

function pathOf(version: number): string {
  return `/version-${version}/`;
}
