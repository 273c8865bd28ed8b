import type { PlaceGrant } from "./place-grant.ts";
import type { PlaceRefused } from "./place-refused.ts";

/** The final decision on a call that waited. */
export interface PlaceSettlement {
  /** The gateway that requested the place. */
  readonly holder: string;
  readonly lease: number;
  readonly decision: PlaceGrant | PlaceRefused;
}
