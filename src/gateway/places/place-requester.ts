import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { PlaceRecord } from "../telemetry/place-record.ts";
import type { PlaceVerdict } from "./place-verdict.ts";

/** A call that needs a place, that is, a slot at a runner. */
export interface PlaceRequester {
  readonly pool: RunnerPool;
  /** Describes the call as it is now: the time it has left shrinks while it waits. */
  describe(): PlaceCall;
  /** Called once, unless the request is cancelled. */
  onVerdict(verdict: PlaceVerdict, record: PlaceRecord): void;
}
