export { type Ownership, OwnershipMap } from "./ownership-map.ts";
export { type OwnerCandidate, preferredOwner } from "./preferred-owner.ts";
