import type { MemberStatus } from "../gateway-messages.ts";

/** Features of the protocol between gateways that older builds in use may lack. */
export type ProtocolFeature = "places" | "streamOrigins" | "poisonRequests";

/** The protocol version that introduced each feature. */
const FIRST_VERSIONS: Record<ProtocolFeature, number> = {
  places: 1,
  streamOrigins: 2,
  poisonRequests: 3,
};

/** Returns whether a gateway supports a feature. A gateway that reports no version supports none. */
export function supportsFeature({ protocol = 0 }: MemberStatus, feature: ProtocolFeature): boolean {
  return protocol >= FIRST_VERSIONS[feature];
}
