import type { PlaceGrant } from "./place-grant.ts";
import type { PlaceQueued } from "./place-queued.ts";
import type { PlaceRefused } from "./place-refused.ts";

/** The immediate answer of a dispatcher to a request for a place. */
export type PlaceDecision = PlaceGrant | PlaceRefused | PlaceQueued;
