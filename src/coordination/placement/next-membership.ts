import { isVoter, type Member, type Membership } from "../shard-group/index.ts";

/** The next step by which a shard's leader moves the replicas to the wanted members. */
export type MembershipStep =
  | { readonly type: "none" }
  | { readonly type: "change"; readonly membership: Membership }
  /** The leader itself is no longer wanted: any other voter may lead, the preferred one first. */
  | { readonly type: "transfer"; readonly preferred: string }
  /** The preferred member should lead. No other one is any better than the current leader. */
  | { readonly type: "transferTo"; readonly to: string };

/** The state from which the next step is computed. */
export interface MembershipStepInput {
  readonly self: string;
  readonly membership: Membership;
  /** The members that should hold the replicas, the preferred leader first. Never empty. */
  readonly wanted: readonly Member[];
  /** Whether a replica holds nearly all entries of the replicated log. */
  readonly isCaughtUp: (instance: string) => boolean;
}

/**
 * Returns the next step. The membership changes in small steps, after each of which the group still works: a new
 * replica first copies the log as a learner, then becomes a voter, and only then is an unwanted replica removed.
 */
export function nextMembershipStep(input: MembershipStepInput): MembershipStep {
  return (
    dropUnwantedLearner(input) ??
    promoteLearner(input) ??
    addLearner(input) ??
    dropVoter(input) ??
    moveLeadership(input) ?? { type: "none" }
  );
}

function dropUnwantedLearner({ membership, wanted }: MembershipStepInput): MembershipStep | undefined {
  const kept = membership.learners.filter((learner) => includesInstance(wanted, learner.instance));
  if (kept.length === membership.learners.length) return undefined;
  return { type: "change", membership: { ...membership, learners: kept } };
}

function promoteLearner({ membership, isCaughtUp }: MembershipStepInput): MembershipStep | undefined {
  const ready = membership.learners.find((learner) => isCaughtUp(learner.instance));
  if (!ready) return membership.learners.length > 0 ? { type: "none" } : undefined;
  const learners = membership.learners.filter((learner) => learner !== ready);
  return { type: "change", membership: { voters: [...membership.voters, ready], learners } };
}

function addLearner({ membership, wanted }: MembershipStepInput): MembershipStep | undefined {
  const missing = wanted.find((member) => !isVoter(membership, member.instance));
  if (!missing) return undefined;
  return { type: "change", membership: { ...membership, learners: [...membership.learners, missing] } };
}

function dropVoter({ self, membership, wanted }: MembershipStepInput): MembershipStep | undefined {
  const unwanted = membership.voters.filter((voter) => !includesInstance(wanted, voter.instance));
  const removedVoter = unwanted.find((voter) => voter.instance !== self);
  if (removedVoter) {
    const voters = membership.voters.filter((voter) => voter !== removedVoter);
    return { type: "change", membership: { ...membership, voters } };
  }
  return unwanted.length > 0 ? { type: "transfer", preferred: wanted[0].instance } : undefined;
}

function moveLeadership({ self, wanted, isCaughtUp }: MembershipStepInput): MembershipStep | undefined {
  const preferred = wanted[0].instance;
  if (preferred === self || !isCaughtUp(preferred)) return undefined;
  return { type: "transferTo", to: preferred };
}

function includesInstance(members: readonly Member[], instance: string): boolean {
  return members.some((member) => member.instance === instance);
}
