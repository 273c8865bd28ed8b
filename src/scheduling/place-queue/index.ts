export type { PlaceCall } from "./place-call.ts";
export type {
  PlaceDecision,
  PlaceGrant,
  PlaceQueued,
  PlaceRefusal,
  PlaceRefused,
} from "./place-decision.ts";
export { PlaceDispatcher, type PlaceDispatcherParts } from "./place-dispatcher.ts";
export type { PlaceSettlement } from "./place-settlement.ts";
export type { ReturnedPlace } from "./returned-place.ts";
export { RunnerGroup } from "./runner-group.ts";
export type { GroupRoom } from "./runner-room.ts";
export type { WaitingCall } from "./waiting-call.ts";
