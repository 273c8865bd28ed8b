/** The tenants of a soak: that of all callers, one whose keys change, and one that floods gateways with requests. */
import type { TestTenant } from "../process/support/gateway-cluster.ts";

/** Time for which a key may still work after its removal, in ms. */
export const REVOKE_MS = 5_000;
/** Tolerance within which tenants may exceed their limits. */
export const TOLERANCE = { windowMs: 5_000, overage: 0.1, slack: 6 };
/** Key of the callers' tenant. It does not change, and the tenant has no limit. */
export const STEADY_KEY = "key-of-steady";
const STEADY: TestTenant = { name: "steady", keys: [STEADY_KEY] };

/** Limit of the flooding tenant: requests per second, and burst. */
export const FLOODING_LIMIT = { perSecond: 10, burst: 10 };
export const FLOODING_KEY = "key-of-wild";
export const FLOODING_NAME = "wild";
const FLOODING: TestTenant = {
  name: FLOODING_NAME,
  keys: [FLOODING_KEY],
  rate: FLOODING_LIMIT.perSecond,
  burst: FLOODING_LIMIT.burst,
};

const CHANGING_NAME = "changing";
/** Number of keys that the changing tenant has at a time. */
const KEYS_AT_ONCE = 2;

/** Holds the tenants' configuration and replaces the keys of the changing tenant. */
export class SoakTenants {
  readonly #keys: string[] = [];
  readonly #revokedAtMs = new Map<string, number>();
  #made = 0;

  constructor() {
    for (let count = 0; count < KEYS_AT_ONCE; count += 1) this.#add();
  }

  /** The tenants for the next configuration. */
  get configured(): readonly TestTenant[] {
    return [STEADY, FLOODING, { name: CHANGING_NAME, keys: this.#keys }];
  }

  /** Every key that the changing tenant has or had. */
  get allKeys(): readonly string[] {
    return [...this.#keys, ...this.#revokedAtMs.keys()];
  }

  /** When a key was removed, in ms since the start of the soak; undefined while it is valid. */
  revokedAtMs(key: string): number | undefined {
    return this.#revokedAtMs.get(key);
  }

  /** Removes the oldest key and creates a new one; both take effect once {@link configured} has been written. */
  change(nowMs: number): void {
    const oldest = this.#keys.shift();
    if (oldest !== undefined) this.#revokedAtMs.set(oldest, nowMs);
    this.#add();
  }

  #add(): void {
    this.#made += 1;
    this.#keys.push(`key-${this.#made}-of-changing`);
  }
}
