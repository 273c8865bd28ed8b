/**
 * Sends requests with keys of a tenant whose keys change, and with the key of a tenant that sends far more than its
 * limit. The requests that runners ran show whether removed keys and limits are enforced.
 */

import { maxRequestsInWindow } from "../../bench/simulation/max-requests-in-window.ts";
import { windowCounts } from "../../bench/simulation/window-counts.ts";
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { PATHS, pause, type TestGateway } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { SoakLedger } from "./soak-ledger.ts";
import { soakRequest } from "./soak-request.ts";
import {
  FLOODING_KEY,
  FLOODING_LIMIT,
  FLOODING_NAME,
  REVOKE_MS,
  type SoakTenants,
  TOLERANCE,
} from "./soak-tenants.ts";

const PAUSE_MS = 25;
const TIMEOUT_MS = 1_000;
/** Share of the requests that use a key of the changing tenant; the others use the flooding tenant's key. */
const CHANGING_SHARE = 0.3;

/** A request that the watch sent. */
interface SentRequest {
  readonly key: string;
  readonly atMs: number;
}

/** Sends requests as the changing and the flooding tenant, and checks afterwards which of them ran. */
export class TenantWatch {
  readonly #cluster: SoakCluster;
  readonly #ledger: SoakLedger;
  readonly #tenants: SoakTenants;
  readonly #random: SeededRandomSource;
  readonly #sent = new Map<string, SentRequest>();

  constructor(cluster: SoakCluster, ledger: SoakLedger, tenants: SoakTenants, random: SeededRandomSource) {
    this.#cluster = cluster;
    this.#ledger = ledger;
    this.#tenants = tenants;
    this.#random = random;
  }

  /** Sends requests until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    const underWay: Promise<void>[] = [];
    while (!isOver()) {
      const { gateways } = this.#cluster;
      const gateway = gateways[this.#random.below(gateways.length)];
      if (gateway) underWay.push(this.#send(gateway));
      await pause(PAUSE_MS);
    }
    await Promise.all(underWay);
  }

  /** Checks which requests runners ran. Call it once no request is active. */
  check(): void {
    const ran = this.#cluster.services.flatMap((runner) => runner.executedRequests);
    const wildAtMs: number[] = [];
    for (const { id, headers } of ran) {
      const sent = this.#sent.get(id);
      if (!sent) continue;
      if (headers.authorization !== undefined) this.#ledger.recordBroken("keys", `${id} came with its key`);
      if (headers["x-tenant"] === FLOODING_NAME) wildAtMs.push(sent.atMs);
      else if (sent.key === FLOODING_KEY)
        this.#ledger.recordBroken(
          "keys",
          `${id} was run for ${headers["x-tenant"]}, not for ${FLOODING_NAME}`,
        );
      const revokedAtMs = this.#tenants.revokedAtMs(sent.key);
      if (revokedAtMs !== undefined && sent.atMs - revokedAtMs > REVOKE_MS)
        this.#ledger.recordBroken("keys", `${id} ran ${sent.atMs - revokedAtMs} ms after the end of its key`);
    }
    this.#checkWindows(wildAtMs);
  }

  #checkWindows(sentAtMs: readonly number[]): void {
    const bound = maxRequestsInWindow(FLOODING_LIMIT, TOLERANCE);
    const beyond = windowCounts(sentAtMs, TOLERANCE.windowMs).find(({ count }) => count > bound);
    if (!beyond) return;
    const { count, endMs } = beyond;
    this.#ledger.recordBroken(
      "limits",
      `${count} requests ran in the window that ends at ${endMs} ms, bound ${bound}`,
    );
  }

  async #send(gateway: TestGateway): Promise<void> {
    const id = `tenant-${this.#sent.size}`;
    const { allKeys } = this.#tenants;
    const isChanging = this.#random.unit() < CHANGING_SHARE;
    const key = isChanging ? (allKeys[this.#random.below(allKeys.length)] ?? FLOODING_KEY) : FLOODING_KEY;
    this.#sent.set(id, { key, atMs: this.#ledger.nowMs });
    const headers = { "X-Request-Id": id, "X-Tenant": "steady", Authorization: `Bearer ${key}` };
    const reached = this.#cluster.throughProxy(gateway);
    const { status, whole } = await soakRequest(reached, PATHS.unsafe, headers, id, TIMEOUT_MS);
    this.#ledger.note({ id, kind: "tenant", gateway: gateway.name, status, whole });
  }
}
