/** What a gateway can take, as a step: the part of the usual callers that it should get. */
export type Headroom = number;

/** All of the usual callers. */
export const FULL_HEADROOM: Headroom = 4;
