import type { Ingress } from "../ingress/ingress.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardHost } from "../shard-host.ts";
import type { CallService } from "./call-service.ts";

/** Time without progress after which a call is logged, in ms. */
const STALLED_AFTER_MS = 5_000;
/** Maximum number of lines of one kind in one report. */
const MAX_LINES = 10;

/**
 * Logs the calls that make no progress: what those executed or queued here wait for, and which node those of this
 * node's own callers were submitted to. Calls beyond the maximum number of lines are only counted.
 */
export class StalledCallLog {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #calls: CallService;
  readonly #ingress: Ingress;

  constructor(context: NodeContext, shards: ShardHost, calls: CallService, ingress: Ingress) {
    this.#context = context;
    this.#shards = shards;
    this.#calls = calls;
    this.#ingress = ingress;
  }

  /** Writes one report. Writes nothing if all calls make progress. */
  report(): void {
    this.#write("call waits at its executor", this.#stalledExecutions());
    this.#write("call waits in its program's queue", this.#calls.queuedCalls(STALLED_AFTER_MS));
    this.#write("caller's call is still open", this.#ingress.idleCalls(STALLED_AFTER_MS));
  }

  #stalledExecutions(): object[] {
    const nowMs = this.#context.clock.monotonicMs();
    const stalled = [...this.#calls.executing()].filter((active) => active.idleMs >= STALLED_AFTER_MS);
    return stalled.map((active) => {
      const shard = this.#shards.shardOfCall(active.id);
      const replica = this.#shards.get(shard);
      return {
        call: active.id,
        shard,
        waitsFor: active.phase,
        idleMs: Math.round(active.idleMs),
        leads: replica?.leads ?? false,
        pendingProposals: replica?.pendingProposals(nowMs),
      };
    });
  }

  #write(message: string, calls: readonly object[]): void {
    for (const call of calls.slice(0, MAX_LINES)) this.#context.log.warn(call, message);
    if (calls.length > MAX_LINES)
      this.#context.log.warn({ count: calls.length - MAX_LINES }, `${message}: further calls`);
  }
}
