/**
 * Version of the protocol between gateways that this build speaks. It rises when a part is added that others must not be
 * asked for unless they know it; fields that may be missing, and messages that may be passed over, need no new one.
 */
export const PROTOCOL_VERSION = 1;
