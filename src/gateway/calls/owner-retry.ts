/** Retry delay for callers after the owner of a partition, or the store, was unreachable, in ms. */
export const OWNER_RETRY_AFTER_MS = 450;
