import type { BodyFraming } from "../../ports/http/body-framing.ts";
import type { ConnectionCloseReason } from "../../runtime/http-server/paced-connections.ts";
import type { RunnerCondition } from "../runners/runner-end-detector.ts";
import type { CallEnd } from "./call-end.ts";
import type { DispatchedPlaces } from "./dispatched-places.ts";
import type { GatewayGauges } from "./gateway-gauges.ts";
import type { PlaceRecord } from "./place-record.ts";

/** An address to which others connect. */
export type ListeningAddress = "callers" | "directory" | "peers";

/** Records what a gateway does, for its metrics. Times are in ms. */
export abstract class GatewayMetrics {
  /** Records a finished call. */
  abstract recordCall(route: string, end: CallEnd, elapsedMs: number, firstByteMs: number | undefined): void;
  /** Records a finished attempt at a runner. */
  abstract recordAttempt(outcome: string, elapsedMs: number): void;
  /** Records that a runner's answer has ended or was broken off, and what tells its end. */
  abstract recordAnswerEnd(framing: BodyFraming, end: "ended" | "broken"): void;
  /** Records what was found of a runner that has broken off an answer. */
  abstract recordRunnerCondition(condition: RunnerCondition): void;
  /** Records whether a run of a request may begin under which runners have ended. */
  abstract recordSuspectVerdict(verdict: string): void;
  /** Records the expected duration of an attempt that has started. */
  abstract recordExpectedAttemptTime(expectedMs: number): void;
  /** Records the zone of a gateway that the directory has named to a caller; the caller's zone may be unknown. */
  abstract recordNamedGateway(zone: string, callerZone: string | undefined): void;
  /** Records a partition owner's answer to a turn, or that the owner could not be asked. */
  abstract recordAdmission(answer: string, elapsedMs: number): void;
  /** Records the rate limit decision on one request, or that the owner of the limit could not be asked. */
  abstract recordRateDecision(tenant: string, verdict: string, elapsedMs: number): void;
  /** Records how long the end of an answer waited until its turn was retained. */
  abstract recordRetention(heldBy: string, elapsedMs: number): void;
  /** Records how the version of a stream is known that a caller takes up, or that it is not. */
  abstract recordResumedStream(knownBy: string): void;
  /** Records the outcome of a partition's write to the store, which may have got no answer. */
  abstract recordStoreWrite(outcome: string, elapsedMs: number): void;
  /** Records that a row read from a table of the store could not be decoded. */
  abstract recordUnreadableRow(table: string): void;
  /** Records the decision on a call that asked for a place in a pool. */
  abstract recordPlaceDecision(pool: string, place: PlaceRecord): void;
  /** Sets the current counts of the places that this gateway dispatches in a group of a pool's runners. */
  abstract setDispatchedPlaces(pool: string, group: number, places: DispatchedPlaces): void;
  /** Records that a caller was disconnected because it read nothing. */
  abstract recordReaderDisconnect(reason: "memoryShort" | "runnerWaits"): void;
  /** Records that a connection was closed because of a limit on the connections to an address. */
  abstract recordConnectionClosed(address: ListeningAddress, reason: ConnectionCloseReason): void;
  /** Starts serving the metrics and the gauges. */
  abstract serve(gauges: GatewayGauges, isReady: () => boolean): Promise<void>;
  /** Stops serving. */
  abstract close(): void;
}
