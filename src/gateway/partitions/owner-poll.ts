/** Delay between two attempts to reach the owner of a partition, in ms. */
export const OWNER_POLL_MS = 20;
