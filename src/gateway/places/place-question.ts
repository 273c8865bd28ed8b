/** A call's question for a place, from when it is asked until it is settled or given up. */
import type { PlaceCall, PlaceRefusal } from "../../scheduling/place-queue/index.ts";
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { DispatcherCandidate } from "../members/dispatcher-candidate.ts";
import type { PlaceRecord } from "../telemetry/place-record.ts";
import type { PlaceVerdict } from "./place-verdict.ts";

/** Where a question stands. */
export type QuestionState = "asking" | "queued" | "over";

/** What asks. */
export interface PlaceAsker {
  readonly pool: RunnerPool;
  /** The call as it stands now: times run on while it waits. */
  describe(): PlaceCall;
  /** Called once, unless the question is given up. */
  onVerdict(verdict: PlaceVerdict, record: PlaceRecord): void;
}

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
  /** Dispatchers that said that they are none, or that others are. */
  moves = 0;
  /** Whether another group was asked after a refusal. */
  hasTriedOther = false;
  refusal: PlaceRefusal | undefined;

  constructor(asker: PlaceAsker, askedAtMs: number) {
    this.asker = asker;
    this.askedAtMs = askedAtMs;
  }

  get isOver(): boolean {
    return this.state === "over";
  }
}
