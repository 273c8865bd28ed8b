/** Share of the normal number of callers that a gateway should get, as an integer from 0 to {@link FULL_HEADROOM}. */
export type Headroom = number;

/** The headroom of a gateway that should get the normal number of callers. */
export const FULL_HEADROOM: Headroom = 4;
