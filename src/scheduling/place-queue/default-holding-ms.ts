/** How long a call is assumed to hold a place while nothing is known, in ms: about a turn of a few events. */
export const DEFAULT_HOLDING_MS = 200;
