/**
 * Placement of shard replicas on nodes. Rendezvous hashing is used, so that a node that joins or leaves moves only its
 * own share of replicas. Each replica is placed in a different zone as long as there are unused zones. Shards of one
 * family share their replicas, so that a node has few replication partners however many shards it holds (copysets).
 */
import type { Member } from "../shard-group/index.ts";

/** The parameters of the placement. */
export interface PlacementOptions {
  /** Number of replicas per shard. */
  readonly replicas: number;
  /** Number of consecutive shards that form a family and share their replicas. */
  readonly shardsPerFamily: number;
  /** Computes a 32-bit hash. */
  readonly hash32: (text: string) => number;
}

/**
 * Returns the members that should hold a shard's replicas. The first one should lead the shard and its whole family: if
 * the shards of a leader have the same followers, it sends only one heartbeat to each follower.
 * Returns fewer than `replicas` members if there are not enough nodes.
 */
export function chooseReplicas(
  shard: number,
  nodes: readonly Member[],
  options: PlacementOptions,
): readonly Member[] {
  const family = Math.floor(shard / options.shardsPerFamily);
  const ranked = rankByHash(nodes, `family-${family}`, options);
  return spreadOverZones(ranked, options.replicas);
}

function rankByHash(nodes: readonly Member[], key: string, options: PlacementOptions): Member[] {
  const scored = nodes.map((node) => ({ node, score: options.hash32(`${key}|${node.instance}`) }));
  scored.sort(
    (left, right) => right.score - left.score || compareText(left.node.instance, right.node.instance),
  );
  return scored.map(({ node }) => node);
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

function spreadOverZones(ranked: readonly Member[], count: number): Member[] {
  const chosen: Member[] = [];
  const usedZones = new Set<string>();
  for (const node of ranked) {
    if (chosen.length === count) break;
    if (usedZones.has(node.zone)) continue;
    usedZones.add(node.zone);
    chosen.push(node);
  }
  for (const node of ranked) {
    if (chosen.length === count) break;
    if (!chosen.includes(node)) chosen.push(node);
  }
  return chosen;
}
