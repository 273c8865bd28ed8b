import type { Member } from "./member.ts";

/** Options of a {@link ShardGroup}. */
export interface ShardGroupOptions {
  /** This replica. */
  readonly self: Member;
  /** Seed for the jitter of election time-outs; give each replica a different one. */
  readonly seed: number;
  /**
   * Time without a message from a leader after which a replica starts an election, in ms. Random jitter adds up to
   * 100 %. Default 1,000.
   */
  readonly electionTimeoutMs?: number;
  /** Time between a leader's heartbeats, in ms. At most a quarter of the election time-out. Default 200. */
  readonly heartbeatIntervalMs?: number;
  /** Maximum number of entries in one append request. Default 64. */
  readonly maxEntriesPerAppend?: number;
  /** Maximum number of entries that are sent to a follower before it acknowledges them. Default 1,024. */
  readonly maxEntriesInFlight?: number;
}

/** {@link ShardGroupOptions} with every default filled in. */
export type ResolvedShardGroupOptions = Required<ShardGroupOptions>;

/** Fills in the defaults. */
export function resolveShardGroupOptions(options: ShardGroupOptions): ResolvedShardGroupOptions {
  return {
    electionTimeoutMs: 1_000,
    heartbeatIntervalMs: 200,
    maxEntriesPerAppend: 64,
    maxEntriesInFlight: 1_024,
    ...options,
  };
}
