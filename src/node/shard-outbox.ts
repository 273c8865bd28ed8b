import type { Member, ShardGroupMessage } from "../coordination/shard-group/index.ts";
import type { Message } from "../messages/message.ts";
import type { AcknowledgementItem, HeartbeatItem } from "../messages/shard-messages.ts";
import type { ShardCommand } from "../scheduling/shard-state.ts";

/** The heartbeats and acknowledgements for one node that were added in the current turn of the event loop. */
interface PendingItems {
  readonly to: Member;
  readonly heartbeats: HeartbeatItem[];
  readonly acknowledgements: AcknowledgementItem[];
}

/**
 * Batches the heartbeats and acknowledgements of all shards that two nodes share: one message for each kind. The names
 * of the nodes are then sent once for each message, so the cost of an idle shard does not grow with their length.
 */
export class ShardOutbox {
  readonly #self: Member;
  readonly #send: (address: string, message: Message) => void;
  readonly #pending = new Map<string, PendingItems>();
  #scheduled = false;

  constructor(self: Member, send: (address: string, message: Message) => void) {
    this.#self = self;
    this.#send = send;
  }

  /** Sends a message. Heartbeats and acknowledgements are batched until the end of this turn of the event loop. */
  add(shard: number, to: Member, message: ShardGroupMessage<ShardCommand>): void {
    if (message.type === "appendRequest" && message.entries.length === 0) {
      const { term, previousIndex, previousTerm, commitIndex } = message;
      this.#pendingFor(to).heartbeats.push({ shard, term, previousIndex, previousTerm, commitIndex });
    } else if (message.type === "appendResponse") {
      const { term, success, matchIndex } = message;
      this.#pendingFor(to).acknowledgements.push({ shard, term, success, matchIndex });
    } else {
      this.#send(to.address, { type: "shard", shard, to: to.instance, message });
    }
  }

  #pendingFor(to: Member): PendingItems {
    const pending = this.#pending.get(to.instance) ?? { to, heartbeats: [], acknowledgements: [] };
    this.#pending.set(to.instance, pending);
    if (!this.#scheduled) {
      this.#scheduled = true;
      queueMicrotask(() => this.#flush());
    }
    return pending;
  }

  #flush(): void {
    this.#scheduled = false;
    const all = [...this.#pending.values()];
    this.#pending.clear();
    for (const { to, heartbeats, acknowledgements } of all) {
      if (heartbeats.length > 0) {
        const message = {
          type: "shardHeartbeats",
          to: to.instance,
          leader: this.#self,
          items: heartbeats,
        } as const;
        this.#send(to.address, message);
      }
      if (acknowledgements.length > 0) {
        const follower = this.#self.instance;
        const message = {
          type: "shardAcknowledgements",
          to: to.instance,
          follower,
          items: acknowledgements,
        } as const;
        this.#send(to.address, message);
      }
    }
  }
}
