/** A call's question for a place, from when it is asked until it is settled or given up. */
import type { DispatcherCandidate } from "../members/dispatcher-candidate.ts";
import type { PlaceAsker } from "./place-asker.ts";

/** Where a question stands. */
type QuestionState = "asking" | "queued" | "over";

/** See the module's comment. */
export class PlaceQuestion {
  readonly asker: PlaceAsker;
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
  moves = 0;
  /** Whether another group was asked after a refusal. */
  hasTriedOther = false;

  constructor(asker: PlaceAsker, askedAtMs: number) {
    this.asker = asker;
    this.askedAtMs = askedAtMs;
  }

  get isOver(): boolean {
    return this.state === "over";
  }
}
