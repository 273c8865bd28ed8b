export { type Ownership, OwnershipMap } from "./ownership-map.ts";
export { type OwnerCandidate, preferredOwner, preferredOwners } from "./preferred-owner.ts";
