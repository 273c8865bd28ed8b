/** Version of the protocol between gateways that this build speaks: it rises with what older builds do not understand. */
export const PROTOCOL = 1;
/** The first version whose gateways hand out places. */
export const PLACES_PROTOCOL = 1;
