import type { PlaceGrant } from "./place-grant.ts";
import type { PlaceRefused } from "./place-refused.ts";

/** What has become of a call that waited. */
export interface PlaceSettlement {
  /** The gateway that asked. */
  readonly holder: string;
  readonly lease: number;
  readonly decision: PlaceGrant | PlaceRefused;
}
