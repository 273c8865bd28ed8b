import type { SlotRequest } from "../scheduling/queue/slot-request.ts";

/** A leader asks a runner's home for a slot. Sent again until it is answered. */
export interface RequestSlot {
  readonly type: "requestSlot";
  readonly runner: string;
  readonly request: SlotRequest;
}

/** The home grants the slot. The engine takes the call only with a token that is not older than its newest. */
export interface SlotGranted {
  readonly type: "slotGranted";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly fencingToken: number;
  readonly waitedMs: number;
  readonly load: readonly RunnerLoad[];
}

/** The home put the request in line. */
export interface SlotQueued {
  readonly type: "slotQueued";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly expectedWaitMs: number;
}

/** The home does not grant the slot, now or later. */
export interface SlotRefused {
  readonly type: "slotRefused";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly reason: "not-home" | "leaving" | "full" | "expired";
  readonly retryAfterMs: number;
  readonly load: readonly RunnerLoad[];
}

/** The leader is done with a slot, or no longer wants one. */
export interface ReleaseSlot {
  readonly type: "releaseSlot";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
}

/** The load of one runner, as its home sees it. */
export interface RunnerLoad {
  readonly runner: string;
  readonly fencingToken: number;
  readonly slots: number;
  readonly expectedWaitMs: number;
  readonly leaving: boolean;
}

/** A home says which runners it serves; sent on a change and now and then. */
export interface AnnounceRunners {
  readonly type: "announceRunners";
  readonly load: readonly RunnerLoad[];
}

/** A program has ended: the home frees what the runner holds for it. */
export interface ReleaseProgram {
  readonly type: "releaseProgram";
  readonly runner: string;
  readonly program: string;
}

/** Messages between leaders and homes. */
export type SlotMessage =
  | RequestSlot
  | SlotGranted
  | SlotQueued
  | SlotRefused
  | ReleaseSlot
  | AnnounceRunners
  | ReleaseProgram;
