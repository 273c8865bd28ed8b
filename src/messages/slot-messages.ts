import type { SlotRequest } from "../scheduling/queue/slot-request.ts";

/**
 * Requests a slot of a runner from the runner's home (the node that grants its slots). Sent by a shard leader and repeated
 * until answered.
 */
export interface RequestSlot {
  readonly type: "requestSlot";
  readonly runner: string;
  readonly request: SlotRequest;
}

/**
 * Grants the slot. The engine accepts the call only if the fencing token is at least as new as the newest that it has seen.
 */
export interface SlotGranted {
  readonly type: "slotGranted";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly fencingToken: number;
  readonly waitedMs: number;
  readonly load: readonly RunnerLoad[];
}

/** Reports that the home has queued the request. */
export interface SlotQueued {
  readonly type: "slotQueued";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly expectedWaitMs: number;
}

/** Reports that the home rejects the request; it is not queued either. */
export interface SlotRefused {
  readonly type: "slotRefused";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
  readonly reason: "not-home" | "leaving" | "full" | "expired";
  readonly retryAfterMs: number;
  readonly load: readonly RunnerLoad[];
}

/** Releases a slot, or cancels the request for one. */
export interface ReleaseSlot {
  readonly type: "releaseSlot";
  readonly runner: string;
  readonly call: string;
  readonly attempt: number;
}

/** The load of one runner, as known to its home. */
export interface RunnerLoad {
  readonly runner: string;
  readonly fencingToken: number;
  readonly slots: number;
  readonly expectedWaitMs: number;
  readonly leaving: boolean;
}

/** Announces the runners of a home. Sent after a change and periodically. */
export interface AnnounceRunners {
  readonly type: "announceRunners";
  readonly load: readonly RunnerLoad[];
}

/** Reports that a program has ended, so that the home frees what the runner holds for it. */
export interface ReleaseProgram {
  readonly type: "releaseProgram";
  readonly runner: string;
  readonly program: string;
}

/** Messages between shard leaders and the homes of runners. */
export type SlotMessage =
  | RequestSlot
  | SlotGranted
  | SlotQueued
  | SlotRefused
  | ReleaseSlot
  | AnnounceRunners
  | ReleaseProgram;
