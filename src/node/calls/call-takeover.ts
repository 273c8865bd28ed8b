import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { CallExecutor } from "./call-executor.ts";
import type { CallServiceParts } from "./call-service-parts.ts";
import type { QueuedCall } from "./program-queue.ts";

/** What a takeover needs from the call service. */
export interface TakeoverPort {
  /** Resumes a call. `entry` holds the waiting node and the text its caller has received, if a node reported them. */
  resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: QueuedCall | undefined,
  ): void;
}

const QUERY_TIMEOUT_MS = 1_000;

/**
 * Handles calls that an earlier leader started. A call stays with the earlier leader while that node is alive and
 * still executes it; otherwise the new leader takes the call over. Before that, the ingress nodes get a grace period
 * to report what their callers have received, so that the answer continues from there.
 */
export class CallTakeover {
  readonly #parts: CallServiceParts;
  readonly #executor: CallExecutor;
  readonly #port: TakeoverPort;
  readonly #waiting = new Map<string, QueuedCall>();

  constructor(parts: CallServiceParts, executor: CallExecutor, port: TakeoverPort) {
    this.#parts = parts;
    this.#executor = executor;
    this.#port = port;
  }

  /** Looks for open calls to take over, one grace period after this node became the leader of a shard. */
  onBecameLeader(replica: ShardReplica): void {
    const { clock, settings } = this.#parts.context;
    const { term } = replica;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      if (!replica.leads || replica.term !== term) return;
      for (const program of replica.state.programs.all()) {
        const open = openCallOf(program);
        if (open && !this.#executor.get(open.id)) void this.#resumeOrRedirect(replica, program, open);
      }
    });
  }

  /** Handles the submission of a call that an earlier leader started. */
  onSubmit(replica: ShardReplica, program: ProgramRecord, record: CallRecord, entry: QueuedCall): void {
    this.#waiting.set(record.id, entry);
    void this.#resumeOrRedirect(replica, program, record);
  }

  async #resumeOrRedirect(replica: ShardReplica, program: ProgramRecord, record: CallRecord): Promise<void> {
    const elsewhere = await this.#isRunningElsewhere(record);
    // Uses a submission that arrived in the meantime, whichever check started first.
    const entry = this.#waiting.get(record.id);
    this.#waiting.delete(record.id);
    if (elsewhere) return this.#redirectOrRecheck(replica, program, record, entry);
    const open = openCallOf(program);
    if (replica.leads && open?.id === record.id) this.#port.resume(replica, program, open, entry);
  }

  #redirectOrRecheck(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: QueuedCall | undefined,
  ): void {
    const { transport } = this.#parts.context;
    if (entry)
      transport.send(entry.from, { type: "callRedirected", call: record.id, leader: record.executor });
    else this.#scheduleRecheck(replica, program, record);
  }

  /** Whether an earlier leader is alive and still executes the call. It then also commits the outcome. */
  async #isRunningElsewhere({ id: call, attempt, executor }: CallRecord): Promise<boolean> {
    const { rpc, context } = this.#parts;
    if (executor === context.self.address) return false;
    const reply = await rpc.ask(executor, "queryCall", { call, attempt }, QUERY_TIMEOUT_MS);
    return reply.type === "done" && reply.body.running;
  }

  #scheduleRecheck(replica: ShardReplica, program: ProgramRecord, record: CallRecord): void {
    const { clock, settings } = this.#parts.context;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      const open = openCallOf(program);
      if (!replica.leads || open?.id !== record.id || this.#executor.get(record.id)) return;
      void this.#resumeOrRedirect(replica, program, open);
    });
  }
}
