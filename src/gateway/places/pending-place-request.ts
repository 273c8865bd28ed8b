/** A call's request for a place, from when it is sent until it is settled or cancelled. */
import type { GatewayCandidate } from "../members/gateway-candidate.ts";
import type { PlaceRequester } from "./place-requester.ts";

/** Whether a request awaits the first answer, is queued at the dispatcher, or was settled or cancelled. */
type QuestionState = "asking" | "queued" | "over";

export class PendingPlaceRequest {
  readonly requester: PlaceRequester;
  readonly askedAtMs: number;
  state: QuestionState = "asking";
  group = 0;
  dispatcher: GatewayCandidate | undefined;
  /** The lease of the place that it will get; known once it is queued. */
  lease: number | undefined;
  /** The wait that the dispatcher announced first, in ms. */
  expectedMs: number | undefined;
  /** When the dispatcher is asked again, to find out whether it is still there. */
  overdueAtMs = 0;
  /** How often it was redirected because another gateway had become the dispatcher. */
  redirects = 0;
  /** Whether another group has been asked after a refusal. */
  hasTriedOtherGroup = false;

  constructor(requester: PlaceRequester, askedAtMs: number) {
    this.requester = requester;
    this.askedAtMs = askedAtMs;
  }

  get isOver(): boolean {
    return this.state === "over";
  }
}
