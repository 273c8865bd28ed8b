/** Urgency of a request among those that wait at a runner: 0 is served first, 9 last. */
export type Urgency = number;
