/** What owners of partitions and the replicas of their records say to each other. */

import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import type { AccountRow } from "../partitions/partition-rows.ts";
import type { RecordCopy } from "./record-copy.ts";
import type { Replica } from "./replica.ts";

/**
 * An owner tells a replica of the partition's accounts while it writes them to the store. Should the owner die while the
 * store is away, a replica can go on with them.
 */
export interface MirrorAccountsRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: string;
  /** The process that the owner's row in the store names: an earlier one, if the owner has not reached the store yet. */
  readonly rowOwner: string;
  readonly replica: string;
  /** Groups of replicas; a replica that is in none of them is released. */
  readonly groups: readonly (readonly Replica[])[];
  readonly accounts: readonly (readonly [program: ProgramId, row: AccountRow])[];
  /** Whether `accounts` are all that the owner knows. */
  readonly whole: boolean;
}

/** A replica's answer to its owner. */
export type MirrorAccountsResponse =
  | { readonly type: "kept" }
  | { readonly type: "fenced" }
  | { readonly type: "notMeant" };

/** An owner has copies kept. */
export interface AppendCopiesRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: string;
  /** The process that is meant. */
  readonly replica: string;
  /** Counts the owner's appends. */
  readonly append: number;
  readonly copies: readonly RecordCopy[];
}

/** A replica's answer to its owner. */
export type AppendCopiesResponse =
  | { readonly type: "kept" }
  /** A newer owner has sealed the partition. */
  | { readonly type: "fenced" }
  /** The replica holds as much as it may. */
  | { readonly type: "full" }
  /** Another process than the one that is meant. */
  | { readonly type: "notMeant" };

/** A new owner asks for all copies; the replica takes none from older owners after it. */
export interface SealCopiesRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: string;
  readonly replica: string;
  /** Whether the new owner takes over without the store, which needs the mirrored accounts, too. */
  readonly withoutStore: boolean;
}

/** A replica's answer to a new owner. */
export type SealCopiesResponse =
  | { readonly type: "sealed"; readonly copies: readonly RecordCopy[] }
  | { readonly type: "fenced" }
  /** Another process than the one that is meant, or one that is no replica of the partition any more. */
  | { readonly type: "notMeant" };

/** What is in the store by now; see `FencedCopies.drop`. */
export interface DropCopiesRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly through: number;
}

/** Asks for a turn that the store may not have yet. */
export interface FindTurnRequest {
  readonly turn: RequestId;
}

/** Whether a gateway holds the turn in memory. */
export type FindTurnResponse =
  | { readonly type: "found"; readonly content: RetainedTurnContent }
  /** `mayBeLost`: lately, copies of records were lost with all the gateways that held them. */
  | { readonly type: "absent"; readonly mayBeLost: boolean };
