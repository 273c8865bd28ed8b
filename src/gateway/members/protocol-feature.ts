import type { MemberStatus } from "../gateway-messages.ts";

/** Parts of the protocol between gateways that not every build in service knows. */
export type ProtocolFeature = "places";

/** The version with which each part came. */
const FIRST_VERSIONS: Record<ProtocolFeature, number> = { places: 1 };

/** Whether a gateway knows a part; one that says no version is of a build that knows none of them. */
export function supportsFeature({ protocol = 0 }: MemberStatus, feature: ProtocolFeature): boolean {
  return protocol >= FIRST_VERSIONS[feature];
}
