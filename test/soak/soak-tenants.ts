/** The tenants of a soak: one for whom all callers speak, one whose keys come and go, and one that runs wild. */
import type { TestTenant } from "../process/support/gateway-cluster.ts";

/** How long a key may be used after its end, in ms. */
export const REVOKE_MS = 5_000;
/** How far tenants may be above their limits. */
export const TOLERANCE = { windowMs: 5_000, overage: 0.1, slack: 6 };
/** Key of the callers' tenant: stays, and has no limit. */
export const STEADY_KEY = "key-of-steady";
const STEADY: TestTenant = { name: "steady", keys: [STEADY_KEY] };

/** Limit of the tenant that runs wild, in requests a second and at once on top. */
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
/** Keys that the changing tenant has at a time. */
const KEYS_AT_ONCE = 2;

/** See the module's comment. */
export class SoakTenants {
  readonly #keys: string[] = [];
  readonly #revokedAtMs = new Map<string, number>();
  #made = 0;

  constructor() {
    for (let count = 0; count < KEYS_AT_ONCE; count += 1) this.#add();
  }

  /** The tenants as operators would write them now. */
  get configured(): readonly TestTenant[] {
    return [STEADY, FLOODING, { name: CHANGING_NAME, keys: this.#keys }];
  }

  /** Every key that the changing tenant has or had. */
  get allKeys(): readonly string[] {
    return [...this.#keys, ...this.#revokedAtMs.keys()];
  }

  /** When a key was taken away, in ms of the soak; undefined while it is valid. */
  revokedAtMs(key: string): number | undefined {
    return this.#revokedAtMs.get(key);
  }

  /** Takes the oldest key away and makes a new one; both count once {@link configured} has been written. */
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
