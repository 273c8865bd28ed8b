import type { PlaceGrant, PlaceRefused } from "./place-decision.ts";

/** What has become of a call that waited. */
export interface PlaceSettlement {
  /** The gateway that asked. */
  readonly holder: string;
  readonly lease: number;
  readonly decision: PlaceGrant | PlaceRefused;
}
