import { requestError } from "../errors/tulipwheel-error.ts";
import type { RpcName, RpcSchema } from "../messages/rpc-messages.ts";
import { type Clock, delay } from "./clock.ts";
import type { RandomSource } from "./random-source.ts";
import type { RpcEndpoint } from "./rpc.ts";

/** Time-out of one attempt, after which the request is sent to another process. */
const ATTEMPT_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 50;
const RETRY_AFTER_MS = 1_000;

/** Sends requests to the leaders of shards. Finds the leaders by trial and redirects, and caches them. */
export class ShardRouter {
  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #knownNodes: () => readonly string[];
  readonly #leaders = new Map<number, string>();

  /** @param knownNodes returns the addresses to try when a leader is unknown */
  constructor(rpc: RpcEndpoint, clock: Clock, random: RandomSource, knownNodes: () => readonly string[]) {
    this.#rpc = rpc;
    this.#clock = clock;
    this.#random = random;
    this.#knownNodes = knownNodes;
  }

  /**
   * Returns the address to try for a shard: the cached leader, or else a random node, avoiding `except` if possible.
   */
  pickAddress(shard: number, except?: string): string | undefined {
    const leader = this.#leaders.get(shard);
    if (leader && leader !== except) return leader;
    const nodes = this.#knownNodes().filter((address) => address !== except);
    return nodes.length > 0 ? nodes[this.#random.below(nodes.length)] : this.#knownNodes()[0];
  }

  /** Caches the leader of a shard, or removes it from the cache. */
  setLeader(shard: number, leader: string | undefined): void {
    if (leader) this.#leaders.set(shard, leader);
    else this.#leaders.delete(shard);
  }

  /**
   * Sends a request to a shard's leader, with retries until the time-out. Only for idempotent requests. Throws typed
   * errors.
   */
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
