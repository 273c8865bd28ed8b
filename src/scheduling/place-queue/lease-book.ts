/** Leases out, and what they take up of each runner. Pure. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { Lease } from "./lease.ts";

interface RunnerUse {
  leases: number;
  tokens: number;
  grantedAtSumMs: number;
}

const UNUSED: Readonly<RunnerUse> = { leases: 0, tokens: 0, grantedAtSumMs: 0 };

/** See the module's comment. */
export class LeaseBook {
  readonly #leases = new Map<number, Lease>();
  readonly #byRunner = new Map<RunnerId, RunnerUse>();

  /** Leases out. */
  get size(): number {
    return this.#leases.size;
  }

  /** Every lease. */
  leases(): IterableIterator<Lease> {
    return this.#leases.values();
  }

  get(lease: number): Lease | undefined {
    return this.#leases.get(lease);
  }

  /** What leases take up of a runner. */
  use(runner: RunnerId): Readonly<RunnerUse> {
    return this.#byRunner.get(runner) ?? UNUSED;
  }

  /** How long ago the leases of a runner were granted, on average, in ms. */
  meanAgeMs(runner: RunnerId, nowMs: number): number {
    const { leases, grantedAtSumMs } = this.use(runner);
    return leases === 0 ? 0 : nowMs - grantedAtSumMs / leases;
  }

  add(lease: Lease): void {
    this.#leases.set(lease.lease, lease);
    const use = this.#byRunner.get(lease.runner) ?? { ...UNUSED };
    this.#byRunner.set(lease.runner, use);
    count(use, lease, 1);
  }

  remove(lease: Lease): void {
    if (!this.#leases.delete(lease.lease)) return;
    const use = this.#byRunner.get(lease.runner);
    if (!use) return;
    count(use, lease, -1);
    if (use.leases === 0) this.#byRunner.delete(lease.runner);
  }
}

function count(use: RunnerUse, { call, grantedAtMs }: Lease, sign: 1 | -1): void {
  use.leases += sign;
  use.tokens += sign * call.tokens;
  use.grantedAtSumMs += sign * grantedAtMs;
}
