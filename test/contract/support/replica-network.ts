import type { Member, ShardGroupMessage } from "../../../src/coordination/shard-group/index.ts";
import type { ProposalResult } from "../../../src/node/pending-proposals.ts";
import { ShardReplica, type ShardReplicaHost } from "../../../src/node/shard-replica.ts";
import type { ShardCommand } from "../../../src/scheduling/shard-state.ts";

interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: ShardGroupMessage<ShardCommand>;
}

const TICK_MS = 10;
const COMMAND: ShardCommand = { type: "forgetBudgets", budgets: [] };

/** The replicas of one shard on a clock and network that the test controls. */
export class ReplicaNetwork {
  readonly replicas = new Map<string, ShardReplica>();
  /** Links that lose all messages, as `from>to`. */
  readonly brokenLinks = new Set<string>();
  #nowMs = 0;
  #inFlight: Envelope[] = [];

  constructor(names: readonly string[]) {
    const members: Member[] = names.map((name) => ({ instance: name, address: name, zone: name }));
    for (const [index, self] of members.entries()) {
      const options = { self, seed: index + 1 };
      const replica = new ShardReplica(0, options, (text) => text, this.#hostOf(self), this.#nowMs);
      this.replicas.set(self.instance, replica);
    }
    for (const replica of this.replicas.values()) replica.bootstrap(members);
  }

  /** Advances the clock, and delivers the messages of each step in the next one. */
  async advance(durationMs: number): Promise<void> {
    for (const endMs = this.#nowMs + durationMs; this.#nowMs < endMs; ) {
      this.#nowMs += TICK_MS;
      this.#deliver();
      for (const replica of this.replicas.values()) replica.tick(this.#nowMs);
      await new Promise(setImmediate);
    }
  }

  /** Returns the name of the ready leader; `except` is left out. */
  leader(except?: string): string {
    const found = [...this.replicas].find(([name, replica]) => name !== except && replica.leads);
    if (!found) throw new Error("There is no leader.");
    return found[0];
  }

  /** Proposes commands at a replica. Returns the types of the outcomes; undefined until an outcome is known. */
  propose(name: string, count: number): (ProposalResult["type"] | undefined)[] {
    const outcomes: (ProposalResult["type"] | undefined)[] = Array.from({ length: count }, () => undefined);
    for (const index of outcomes.keys()) {
      const proposed = this.replicas.get(name)?.propose(COMMAND, () => this.#nowMs);
      void proposed?.then(({ type }) => {
        outcomes[index] = type;
      });
    }
    return outcomes;
  }

  #hostOf(self: Member): ShardReplicaHost {
    return {
      sendToReplica: (_shard, to, message) => {
        this.#inFlight.push({ from: self.instance, to: to.instance, message });
      },
      onRoleChanged: () => undefined,
      onApplied: () => undefined,
    };
  }

  #deliver(): void {
    const batch = this.#inFlight;
    this.#inFlight = [];
    for (const { from, to, message } of batch) {
      if (!this.brokenLinks.has(`${from}>${to}`)) {
        this.replicas.get(to)?.receive(structuredClone(message), this.#nowMs);
      }
    }
  }
}
