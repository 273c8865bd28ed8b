/** A node that is eligible to own partitions. */
export interface OwnerCandidate {
  readonly name: string;
  /** Hash of the name, the same on every node. */
  readonly hash: number;
}

const MULTIPLIER_A = 0x85ebca6b;
const MULTIPLIER_B = 0xc2b2ae35;

/**
 * Returns the node that should own a partition, by rendezvous hashing. All nodes that know the same candidates get the
 * same result, and a candidate that is added or removed moves only its own partitions. Undefined without candidates.
 */
export function preferredOwner(partition: number, candidates: readonly OwnerCandidate[]): string | undefined {
  let best: OwnerCandidate | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = scoreOf(partition, candidate);
    if (score > bestScore || (score === bestScore && best && candidate.name < best.name)) {
      best = candidate;
      bestScore = score;
    }
  }
  return best?.name;
}

/**
 * Returns the `count` nodes that come first in the same ranking, best first. A candidate that is removed leaves the order of
 * the others as it is.
 */
export function preferredOwners<Candidate extends OwnerCandidate>(
  partition: number,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  const scored = candidates.map((candidate) => ({ candidate, score: scoreOf(partition, candidate) }));
  scored.sort((left, right) => {
    return right.score - left.score || (left.candidate.name < right.candidate.name ? -1 : 1);
  });
  return scored.slice(0, count).map(({ candidate }) => candidate);
}

function scoreOf(partition: number, { hash }: OwnerCandidate): number {
  return mix(hash ^ Math.imul(partition + 1, MULTIPLIER_A));
}

function mix(value: number): number {
  let mixed = value;
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, MULTIPLIER_A);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MULTIPLIER_B);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
