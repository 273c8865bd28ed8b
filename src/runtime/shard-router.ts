import { requestError } from "../errors/tulipwheel-error.ts";
import type { RpcName, RpcSchema } from "../messages/rpc-messages.ts";
import { type Clock, delay } from "./clock.ts";
import type { RandomSource } from "./random-source.ts";
import type { RpcEndpoint } from "./rpc.ts";

/** How long one process is given to answer, in ms, before another is asked. */
const ATTEMPT_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 50;
const RETRY_AFTER_MS = 1_000;

/** Finds the leaders of shards by asking, and remembers them. */
export class ShardRouter {
  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #knownNodes: () => readonly string[];
  readonly #leaders = new Map<number, string>();

  /** @param knownNodes addresses to start from */
  constructor(rpc: RpcEndpoint, clock: Clock, random: RandomSource, knownNodes: () => readonly string[]) {
    this.#rpc = rpc;
    this.#clock = clock;
    this.#random = random;
    this.#knownNodes = knownNodes;
  }

  /** The address to try for a shard: the remembered leader, or any node but `except`. */
  pickAddress(shard: number, except?: string): string | undefined {
    const leader = this.#leaders.get(shard);
    if (leader && leader !== except) return leader;
    const nodes = this.#knownNodes().filter((address) => address !== except);
    return nodes.length > 0 ? nodes[this.#random.below(nodes.length)] : this.#knownNodes()[0];
  }

  /** Remembers, or forgets, a shard's leader. */
  setLeader(shard: number, leader: string | undefined): void {
    if (leader) this.#leaders.set(shard, leader);
    else this.#leaders.delete(shard);
  }

  /** Asks a shard's leader, wherever it is. Only for requests that may be repeated. Throws typed errors. */
  async ask<Name extends RpcName>(
    shard: number,
    name: Name,
    body: RpcSchema[Name]["request"],
    timeoutMs: number,
  ): Promise<RpcSchema[Name]["response"]> {
    const deadlineMs = this.#clock.monotonicMs() + timeoutMs;
    let failedAddress: string | undefined;
    let redirects = 0;
    while (this.#clock.monotonicMs() < deadlineMs) {
      const address = this.pickAddress(shard, failedAddress);
      if (!address) break;
      const reply = await this.#rpc.ask(address, name, body, ATTEMPT_TIMEOUT_MS);
      if (reply.type === "done") {
        this.setLeader(shard, address);
        return reply.body;
      }
      if (reply.type === "problem") throw reply.error;
      this.setLeader(shard, reply.type === "redirect" ? reply.leader : undefined);
      const redirected = reply.type === "redirect" && reply.leader !== undefined;
      failedAddress = redirected ? undefined : address;
      if (redirected) redirects += 1;
      if (!redirected || redirects > 1) await delay(this.#clock, RETRY_DELAY_MS);
    }
    throw requestError("unavailable", `Shard ${shard} has no reachable leader.`, {
      retryAfterMs: RETRY_AFTER_MS,
      outcome: "unknown",
    });
  }
}
