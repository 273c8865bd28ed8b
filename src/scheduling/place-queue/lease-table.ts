/** The leases in force, and how much of each runner they use. No I/O. */
import type { RunnerId } from "../ids/runner-id.ts";
import type { Lease } from "./lease.ts";

interface RunnerUsage {
  leases: number;
  tokens: number;
  grantedAtSumMs: number;
}

const NO_USAGE: Readonly<RunnerUsage> = { leases: 0, tokens: 0, grantedAtSumMs: 0 };

/** The leases of one dispatcher. */
export class LeaseTable {
  readonly #leases = new Map<number, Lease>();
  readonly #byRunner = new Map<RunnerId, RunnerUsage>();

  /** Number of leases in force. */
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

  /** How much of a runner the leases use. */
  usage(runner: RunnerId): Readonly<RunnerUsage> {
    return this.#byRunner.get(runner) ?? NO_USAGE;
  }

  /** Average time since the leases of a runner were granted, in ms. */
  meanAgeMs(runner: RunnerId, nowMs: number): number {
    const { leases, grantedAtSumMs } = this.usage(runner);
    return leases === 0 ? 0 : nowMs - grantedAtSumMs / leases;
  }

  add(lease: Lease): void {
    this.#leases.set(lease.lease, lease);
    const usage = this.#byRunner.get(lease.runner) ?? { ...NO_USAGE };
    this.#byRunner.set(lease.runner, usage);
    adjustUsage(usage, lease, 1);
  }

  remove(lease: Lease): void {
    if (!this.#leases.delete(lease.lease)) return;
    const usage = this.#byRunner.get(lease.runner);
    if (!usage) return;
    adjustUsage(usage, lease, -1);
    if (usage.leases === 0) this.#byRunner.delete(lease.runner);
  }
}

function adjustUsage(usage: RunnerUsage, { call, grantedAtMs }: Lease, sign: 1 | -1): void {
  usage.leases += sign;
  usage.tokens += sign * call.tokens;
  usage.grantedAtSumMs += sign * grantedAtMs;
}
