import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { PlaceRecord } from "../telemetry/place-record.ts";
import type { PlaceVerdict } from "./place-verdict.ts";

/** A call that asks for a place. */
export interface PlaceRequester {
  readonly pool: RunnerPool;
  /** The call as it stands now: times run on while it waits. */
  describe(): PlaceCall;
  /** Called once, unless the question is given up. */
  onVerdict(verdict: PlaceVerdict, record: PlaceRecord): void;
}
