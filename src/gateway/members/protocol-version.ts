/**
 * Version of the protocol between gateways that this build uses. Increase it when a feature is added that may be used only
 * with gateways that support it. Optional fields, and messages that receivers may ignore, need no new version.
 */
export const PROTOCOL_VERSION = 3;
