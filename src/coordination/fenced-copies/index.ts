export { FencedCopies, type OwnerFence } from "./fenced-copies.ts";
export { majorityOf } from "./majority-of.ts";
