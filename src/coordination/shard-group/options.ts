import type { Member } from "./member.ts";

/** Options of a {@link ShardGroup}. */
export interface ShardGroupOptions {
  /** This replica. */
  readonly self: Member;
  /** Seed for the jitter of election time-outs; give each replica a different one. */
  readonly seed: number;
  /** Time without a leader's message after which a replica stands for election, in ms. Jitter adds up to as much again. Default 1,000. */
  readonly electionTimeoutMs?: number;
  /** Time between a leader's heartbeats, in ms. At most a quarter of the election time-out. Default 200. */
  readonly heartbeatIntervalMs?: number;
  /** Entries in one append request. Default 64. */
  readonly maxEntriesPerAppend?: number;
  /** Entries sent ahead of a follower's acknowledgement. Default 1,024. */
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
