/** Tells a runner whose process has ended from one that has broken off an answer and lives on. */
import type { ConnectionProbe } from "../../ports/probe-connection.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerBalancer } from "../../scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";

/** How long a runner has to accept a connection, in ms. The call that it broke off waits meanwhile. */
const PROBE_TIMEOUT_MS = 100;

/** What is known of a runner that has broken off an answer. */
export type RunnerCondition =
  /** It is no longer listed, or refuses connections. */
  | "ended"
  /** It accepts connections. */
  | "running"
  | "unknown";

export class RunnerEndDetector {
  readonly #board: Pick<RunnerBalancer, "isListed">;
  readonly #probe: (address: string, timeoutMs: number) => Promise<ConnectionProbe>;
  readonly #pending = new Map<RunnerId, Promise<RunnerCondition>>();

  constructor(
    board: Pick<RunnerBalancer, "isListed">,
    probe: (address: string, timeoutMs: number) => Promise<ConnectionProbe>,
  ) {
    this.#board = board;
    this.#probe = probe;
  }

  /** Finds out whether a runner has ended, with one connection for all calls that ask at the same time. */
  check(runner: RunnerEntry): Promise<RunnerCondition> {
    const pending = this.#pending.get(runner.id) ?? this.#check(runner);
    this.#pending.set(runner.id, pending);
    return pending;
  }

  async #check({ id, address }: RunnerEntry): Promise<RunnerCondition> {
    const probe = await this.#probe(address, PROBE_TIMEOUT_MS);
    this.#pending.delete(id);
    if (probe === "refused" || !this.#board.isListed(id)) return "ended";
    return probe === "accepted" ? "running" : "unknown";
  }
}
