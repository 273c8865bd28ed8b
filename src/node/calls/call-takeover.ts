import { openCallOf } from "../../scheduling/program/open-call-of.ts";
import type { CallRecord, ProgramRecord } from "../../scheduling/program/records.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { CallExecution } from "./call-execution.ts";
import type { CallServiceParts } from "./call-service-parts.ts";
import type { LaneEntry } from "./program-lane.ts";

/** What a takeover needs from the handling of calls. */
export interface TakeoverPort {
  /** Carries on with a call; `entry` says who waits and what the caller has seen, if anybody told. */
  resume(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: LaneEntry | undefined,
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
  readonly #execution: CallExecution;
  readonly #port: TakeoverPort;
  readonly #waiting = new Map<string, LaneEntry>();

  constructor(parts: CallServiceParts, execution: CallExecution, port: TakeoverPort) {
    this.#parts = parts;
    this.#execution = execution;
    this.#port = port;
  }

  /** This node has begun to lead a shard. */
  onLeading(replica: ShardReplica): void {
    const { clock, settings } = this.#parts.context;
    const { term } = replica;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      if (!replica.leads || replica.term !== term) return;
      for (const program of replica.state.programs.all()) {
        const open = openCallOf(program);
        if (open && !this.#execution.get(open.id)) void this.#resumeOrLeave(replica, program, open);
      }
    });
  }

  /** A node hands in a call that an earlier leader began. */
  onSubmit(replica: ShardReplica, program: ProgramRecord, record: CallRecord, entry: LaneEntry): void {
    this.#waiting.set(record.id, entry);
    void this.#resumeOrLeave(replica, program, record);
  }

  async #resumeOrLeave(replica: ShardReplica, program: ProgramRecord, record: CallRecord): Promise<void> {
    const elsewhere = await this.#runsElsewhere(record);
    // What a node said meanwhile counts, whoever began to look first.
    const entry = this.#waiting.get(record.id);
    this.#waiting.delete(record.id);
    if (elsewhere) return this.#leave(replica, program, record, entry);
    const open = openCallOf(program);
    if (replica.leads && open?.id === record.id) this.#port.resume(replica, program, open, entry);
  }

  #leave(
    replica: ShardReplica,
    program: ProgramRecord,
    record: CallRecord,
    entry: LaneEntry | undefined,
  ): void {
    const { transport } = this.#parts.context;
    if (entry)
      transport.send(entry.from, { type: "callRedirected", call: record.id, leader: record.executor });
    else this.#lookAgainLater(replica, program, record);
  }

  /** Whether an earlier leader that still lives carries the call out. It then also commits the end. */
  async #runsElsewhere({ id: call, attempt, executor }: CallRecord): Promise<boolean> {
    const { rpc, context } = this.#parts;
    if (executor === context.self.address) return false;
    const reply = await rpc.ask(executor, "queryCall", { call, attempt }, QUERY_TIMEOUT_MS);
    return reply.type === "done" && reply.body.running;
  }

  #lookAgainLater(replica: ShardReplica, program: ProgramRecord, record: CallRecord): void {
    const { clock, settings } = this.#parts.context;
    clock.schedule(settings.timing.takeoverGraceMs, () => {
      const open = openCallOf(program);
      if (!replica.leads || open?.id !== record.id || this.#execution.get(record.id)) return;
      void this.#resumeOrLeave(replica, program, open);
    });
  }
}
