/**
 * Identity of one replica of a shard group.
 *
 * Machines keep nothing, so a process that restarts is a new member: `instance` is unique per boot.
 * A vote or a log entry that a member acknowledged can therefore never be forgotten by "the same" member.
 */
export interface Member {
  /** Unique per boot, for example `node-a#k3f9x2`. */
  readonly instance: string;
  /** IP address and port of the internal protocol, for example `127.0.0.1:7101`. */
  readonly address: string;
  /** Failure domain; replicas of one shard are placed in different zones. */
  readonly zone: string;
}

/** The replicas of a shard group: voters decide, learners only copy the log until they have caught up. */
export interface Membership {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** Whether the instance votes in this membership. */
export function isVoter(membership: Membership, instance: string): boolean {
  return membership.voters.some((member) => member.instance === instance);
}

/** Every replica, voters first. */
export function allMembers(membership: Membership): readonly Member[] {
  return [...membership.voters, ...membership.learners];
}

/** The number of voters that form a majority. */
export function majoritySize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}
