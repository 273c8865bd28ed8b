/** Assumed holding time of a place while no call has been measured, in ms: about a turn of a few events. */
export const DEFAULT_HOLDING_MS = 200;
