/** How urgent a request is among those that wait at a runner: 0 goes first, 9 last. */
export type Urgency = number;
