import type { CallEnd } from "./call-end.ts";
import type { DispatchedPlaces } from "./dispatched-places.ts";
import type { GatewayGauges } from "./gateway-gauges.ts";
import type { PlaceRecord } from "./place-record.ts";

/** Counts what a gateway does. */
export abstract class GatewayMetrics {
  /** A call is over; times in ms. */
  abstract recordCall(route: string, end: CallEnd, elapsedMs: number, firstByteMs: number | undefined): void;
  /** A try at a runner is over. */
  abstract recordAttempt(outcome: string, elapsedMs: number): void;
  /** A try began that was expected to be over in so many ms. */
  abstract recordExpectedAttemptTime(expectedMs: number): void;
  /** A gateway of a zone was named to a caller, whose zone may be unknown. */
  abstract recordNamedGateway(zone: string, callerZone: string | undefined): void;
  /** An owner answered, or could not be asked. */
  abstract recordAdmission(answer: string, elapsedMs: number): void;
  /** The owner of a tenant's limit answered for one request, or could not be asked. */
  abstract recordRateDecision(tenant: string, verdict: string, elapsedMs: number): void;
  /** The end of an answer has waited until its turn was kept. */
  abstract recordRetention(heldBy: string, elapsedMs: number): void;
  /** A write of a partition was answered, or not. */
  abstract recordStoreWrite(outcome: string, elapsedMs: number): void;
  /** A row of a table of the store, met when it was read, is not what it should be. */
  abstract recordUnreadableRow(table: string): void;
  /** A call of a pool that asked for a place has its verdict. */
  abstract recordPlaceDecision(pool: string, place: PlaceRecord): void;
  /** What this gateway hands out of a group of a pool's runners, as of now. */
  abstract setDispatchedPlaces(pool: string, group: number, places: DispatchedPlaces): void;
  /** The connection of a caller that took nothing was ended. */
  abstract recordReaderDisconnect(reason: "memoryShort" | "runnerWaits"): void;
  /** Serves what was counted; returns the address. */
  abstract serve(gauges: GatewayGauges, isReady: () => boolean): Promise<void>;
  /** Serves no more. */
  abstract close(): void;
}
