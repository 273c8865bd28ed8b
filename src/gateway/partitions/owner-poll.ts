/** How often the owner of a partition is looked for, in ms. */
export const OWNER_POLL_MS = 20;
