export { chooseReplicas, type PlacementOptions } from "./choose-replicas.ts";
export { type MembershipStep, type MembershipStepInput, nextMembershipStep } from "./next-membership.ts";
