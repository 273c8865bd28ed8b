/**
 * Sends requests with keys that were taken away, and with the key of a tenant that sends far more than its limit. What
 * runners ran of them tells whether keys and limits hold.
 */

import { maxRequestsInWindow } from "../../bench/simulation/max-requests-in-window.ts";
import { windowCounts } from "../../bench/simulation/window-counts.ts";
import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { PATHS, pause, type TestGateway } from "../process/support/gateway-cluster.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { SoakLedger } from "./soak-ledger.ts";
import { soakRequest } from "./soak-request.ts";
import { REVOKE_MS, type SoakTenants, TOLERANCE, WILD_KEY, WILD_LIMIT, WILD_NAME } from "./soak-tenants.ts";

const PAUSE_MS = 25;
const TIMEOUT_MS = 1_000;
/** Part of the requests that use a key of the changing tenant; the others are the wild one's. */
const CHANGING_PART = 0.3;

/** A request of the watch, as it was sent. */
interface SentRequest {
  readonly key: string;
  readonly atMs: number;
}

/** See the module's comment. */
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

  /** Sends requests until `isOver`. */
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

  /** Checks what runners ran. Call it when nothing is under way any more. */
  check(): void {
    const ran = this.#cluster.services.flatMap((runner) => runner.executedRequests);
    const wildAtMs: number[] = [];
    for (const { id, headers } of ran) {
      const sent = this.#sent.get(id);
      if (!sent) continue;
      if (headers.authorization !== undefined) this.#ledger.breaks("keys", `${id} came with its key`);
      if (headers["x-tenant"] === WILD_NAME) wildAtMs.push(sent.atMs);
      else if (sent.key === WILD_KEY)
        this.#ledger.breaks("keys", `${id} was run for ${headers["x-tenant"]}, not for ${WILD_NAME}`);
      const revokedAtMs = this.#tenants.revokedAtMs(sent.key);
      if (revokedAtMs !== undefined && sent.atMs - revokedAtMs > REVOKE_MS)
        this.#ledger.breaks("keys", `${id} ran ${sent.atMs - revokedAtMs} ms after the end of its key`);
    }
    this.#checkWindows(wildAtMs);
  }

  #checkWindows(sentAtMs: readonly number[]): void {
    const bound = maxRequestsInWindow(WILD_LIMIT, TOLERANCE);
    const beyond = windowCounts(sentAtMs, TOLERANCE.windowMs).find(({ count }) => count > bound);
    if (!beyond) return;
    const { count, endMs } = beyond;
    this.#ledger.breaks(
      "limits",
      `${count} requests ran in the window that ends at ${endMs} ms, bound ${bound}`,
    );
  }

  async #send(gateway: TestGateway): Promise<void> {
    const id = `tenant-${this.#sent.size}`;
    const { allKeys } = this.#tenants;
    const isChanging = this.#random.unit() < CHANGING_PART;
    const key = isChanging ? (allKeys[this.#random.below(allKeys.length)] ?? WILD_KEY) : WILD_KEY;
    this.#sent.set(id, { key, atMs: this.#ledger.nowMs });
    const headers = { "X-Request-Id": id, "X-Tenant": "steady", Authorization: `Bearer ${key}` };
    const reached = this.#cluster.forCallers(gateway);
    const { status, whole } = await soakRequest(reached, PATHS.unsafe, headers, id, TIMEOUT_MS);
    this.#ledger.note({ id, kind: "tenant", gateway: gateway.name, status, whole });
  }
}
