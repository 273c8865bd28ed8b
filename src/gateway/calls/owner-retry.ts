/** When to come back after the owner of a partition, or the store, was out of reach, in ms. */
export const OWNER_RETRY_AFTER_MS = 450;
