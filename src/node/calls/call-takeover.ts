import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { CallExecutor } from "./call-executor.ts";
import type { CallServiceParts } from "./call-service-parts.ts";
import type { QueuedCall } from "./program-queue.ts";

/** What a takeover needs from the handling of calls. */
export interface TakeoverPort {
  /** Carries on with a call; `entry` says who waits and what the caller has seen, if anybody told. */
  resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: QueuedCall | undefined,
  ): void;
}

const QUERY_TIMEOUT_MS = 1_000;

/**
 * What a new leader does with calls that an earlier one began: leaves them to the earlier one while it lives and
 * carries them on, and takes them over otherwise. Nodes that callers speak to are given some time first to say what callers have seen,
 * so that the answer goes on from there.
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

  /** This node has begun to lead a shard. */
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

  /** A node hands in a call that an earlier leader began. */
  onSubmit(replica: ShardReplica, program: ProgramRecord, record: CallRecord, entry: QueuedCall): void {
    this.#waiting.set(record.id, entry);
    void this.#resumeOrRedirect(replica, program, record);
  }

  async #resumeOrRedirect(replica: ShardReplica, program: ProgramRecord, record: CallRecord): Promise<void> {
    const elsewhere = await this.#isRunningElsewhere(record);
    // What a node said meanwhile counts, whoever began to look first.
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

  /** Whether an earlier leader that still lives carries the call out. It then also commits the end. */
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
