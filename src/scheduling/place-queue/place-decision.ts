import type { PlaceGrant } from "./place-grant.ts";
import type { PlaceQueued } from "./place-queued.ts";
import type { PlaceRefused } from "./place-refused.ts";

/** What a dispatcher says at once. */
export type PlaceDecision = PlaceGrant | PlaceRefused | PlaceQueued;
