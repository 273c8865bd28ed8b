/**
 * Identity of one replica of a shard group.
 *
 * Replicas have no persistent storage, so a restarted process is a new member: `instance` is unique per boot.
 * A member therefore never loses a vote or a log entry that it has acknowledged.
 */
export interface Member {
  /** Unique per boot, for example `node-a#k3f9x2`. */
  readonly instance: string;
  /** IP address and port of the internal protocol, for example `127.0.0.1:7101`. */
  readonly address: string;
  /** Failure domain; replicas of one shard are placed in different zones. */
  readonly zone: string;
}

/**
 * The replicas of a shard group. Voters elect leaders and commit entries; learners only copy the log until they have
 * caught up.
 */
export interface Membership {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** Whether the instance is a voter in this membership. */
export function isVoter(membership: Membership, instance: string): boolean {
  return membership.voters.some((member) => member.instance === instance);
}

/** Returns every replica, voters first. */
export function allMembers(membership: Membership): readonly Member[] {
  return [...membership.voters, ...membership.learners];
}

/** Returns the number of voters that form a majority. */
export function majoritySize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}
