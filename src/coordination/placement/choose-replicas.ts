/**
 * Places the replicas of shards on nodes: rendezvous hashing, so that a node that joins or leaves moves only its
 * share; one replica per zone as long as there are zones left; and families of shards that share their replicas,
 * so that a node has few partners, however many shards it holds (copysets).
 */
import type { Member } from "../shard-group/index.ts";

/** What placement needs to know beside the nodes. */
export interface PlacementOptions {
  /** Replicas of each shard. */
  readonly replicas: number;
  /** Neighbouring shards that share their replicas. */
  readonly shardsPerFamily: number;
  /** A hash with 32 bits. */
  readonly hash32: (text: string) => number;
}

/**
 * The members that should hold a shard. The first should lead it, and with it the whole family: a leader that
 * shares its followers among its shards sends each of them one heartbeat.
 * Fewer than `replicas` come back when there are not enough nodes.
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
