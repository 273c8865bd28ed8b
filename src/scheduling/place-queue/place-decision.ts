import type { RunnerId } from "../ids/runner-id.ts";
import type { TenantName } from "../ids/tenant-name.ts";

/** Why there is no place for a call. */
export type PlaceRefusal =
  /** It would wait longer than it can. */
  | "wait-too-long"
  /** It is a program's first turn, and the program would wait too long at each of its turns. */
  | "program-too-late"
  /** It has waited as long as it can: the forecast was wrong. */
  | "waited-in-vain"
  /** No runner can take it. */
  | "no-runner"
  /** Too many calls wait already. */
  | "queue-full";

/** A place that was handed out. */
export interface PlaceGrant {
  readonly type: "granted";
  readonly runner: RunnerId;
  readonly lease: number;
  /** After this time the lease ends by itself, in ms. */
  readonly leaseMs: number;
  readonly waitedMs: number;
  /** Whose call got a place last before this one, if this one waited. */
  readonly behind?: TenantName | undefined;
}

/** A call that gets no place. */
export interface PlaceRefused {
  readonly type: "refused";
  /** When there is likely to be one, in ms. */
  readonly retryAfterMs: number;
  readonly reason: PlaceRefusal;
}

/** A call that waits; the lease is the one that it will have. */
export interface PlaceQueued {
  readonly type: "queued";
  readonly lease: number;
  readonly expectedMs: number;
}

/** What a dispatcher says at once. */
export type PlaceDecision = PlaceGrant | PlaceRefused | PlaceQueued;
