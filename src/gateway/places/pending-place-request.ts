/** A call's question for a place, from when it is asked until it is settled or given up. */
import type { DispatcherCandidate } from "../members/dispatcher-candidate.ts";
import type { PlaceRequester } from "./place-requester.ts";

/** Where a question stands. */
type QuestionState = "asking" | "queued" | "over";

/** See the module's comment. */
export class PendingPlaceRequest {
  readonly requester: PlaceRequester;
  readonly askedAtMs: number;
  state: QuestionState = "asking";
  group = 0;
  dispatcher: DispatcherCandidate | undefined;
  /** The lease that it will have; known once it is queued. */
  lease: number | undefined;
  /** The wait that was announced first. */
  expectedMs: number | undefined;
  /** When the dispatcher is asked whether it is still there. */
  overdueAtMs = 0;
  /** How often it was sent on, since another gateway is the dispatcher. */
  redirects = 0;
  /** Whether another group was asked after a refusal. */
  hasTriedOtherGroup = false;

  constructor(requester: PlaceRequester, askedAtMs: number) {
    this.requester = requester;
    this.askedAtMs = askedAtMs;
  }

  get isOver(): boolean {
    return this.state === "over";
  }
}
