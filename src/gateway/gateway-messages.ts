/** What gateways say to each other. */

import type { RateAnswer, RateLimit } from "../coordination/request-rate/index.ts";
import type { RpcRequest, RpcResponse } from "../messages/rpc-messages.ts";
import type { Headroom } from "../scheduling/caller-spread/headroom.ts";
import type { ProgramId } from "../scheduling/ids/program-id.ts";
import type { RequestId } from "../scheduling/ids/request-id.ts";
import type { RunnerId } from "../scheduling/ids/runner-id.ts";
import type { TenantName } from "../scheduling/ids/tenant-name.ts";
import type {
  PlaceCall,
  PlaceDecision,
  PlaceGrant,
  PlaceRefused,
  ReturnedPlace,
} from "../scheduling/place-queue/index.ts";
import type { LoadReport } from "../scheduling/runner-balancing/load-report.ts";
import type { StoreCall, StoreCallOutcome } from "./store/store-call.ts";

/** Where a gateway is in its life. Only ready ones are given to callers; only they own partitions. */
export type GatewayState = "starting" | "ready" | "stopping";

/** What a gateway says of itself. */
export interface MemberStatus {
  /** Rises with each change of what the incarnation says of itself. */
  readonly revision: number;
  readonly name: string;
  readonly zone: string;
  /** Where callers reach it. */
  readonly callerAddress: string;
  readonly state: GatewayState;
  /** Whether it reaches the store, over its own connections or through a peer. */
  readonly storeReachable: boolean;
  /** Whether its own connections to the store work, so that it may carry calls of others. */
  readonly storeDirect: boolean;
  /** Partitions that it owns, with the epochs of its ownership. */
  readonly owned: readonly (readonly [partition: number, epoch: number])[];
  /** Newest version of the protocol between gateways that it speaks; undefined for builds older than the field. */
  readonly protocol?: number;
  /** Callers that it can take beside those it has, in coarse steps; undefined for builds that do not tell. */
  readonly headroom?: Headroom;
}

/** A gateway says that it is alive, and what others need to know of it. */
export interface Heartbeat extends MemberStatus {
  readonly type: "heartbeat";
  /** Its requests at runners. */
  readonly runners: LoadReport;
  /** Addresses of gateways that it knows; only now and then. */
  readonly peers: readonly string[];
  /** Whether it missed a digest of the receiver, and has to be told everything again. */
  readonly missedDigest: boolean;
}

/** What a relay passes on of a gateway that it hears. */
export interface RelayedMember {
  readonly address: string;
  readonly instance: string;
  readonly status: MemberStatus;
}

/** A relay passes on what is news to the receiver of the gateways that it hears. */
export interface MemberDigest {
  readonly type: "memberDigest";
  /** Counts the relay's digests to this receiver. */
  readonly sequence: number;
  /** Gateways that are new, or say something else of themselves. */
  readonly changed: readonly RelayedMember[];
  /** Incarnations that the relay no longer hears. */
  readonly lost: readonly string[];
  /** Whether `changed` names every gateway that the relay hears. */
  readonly whole: boolean;
  /** Requests at runners, summed by zone: those of gateways that the receiver does not hear itself. */
  readonly loads: readonly (readonly [zone: string, report: LoadReport])[];
}

/** Asks the owner of a program's partition whether a turn may run. Repeating it changes nothing. */
export interface AdmitTurnRequest {
  readonly partition: number;
  readonly program: ProgramId;
  readonly session: string | undefined;
  readonly turn: RequestId;
  /** Undefined where the program has no budget. */
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Undefined where the caller sends the whole prompt itself. */
  readonly history:
    | { readonly previousTurn: RequestId | undefined; readonly tenant?: TenantName | undefined }
    | undefined;
}

/** The owner's answer. */
export type AdmitTurnResponse =
  | {
      readonly type: "granted";
      /** Input and output of every turn before, oldest first. */
      readonly history: readonly Uint8Array[];
      /** The runner that ran the turn before, and holds its prompt. */
      readonly runner: RunnerId | undefined;
    }
  | { readonly type: "exhausted"; readonly spent: number }
  | { readonly type: "noSuchTurn" }
  /** The owner cannot be sure now. */
  | { readonly type: "unavailable"; readonly detail: string };

/** A turn that has ended and is kept. */
export interface RetainedTurnContent {
  readonly previousTurn: RequestId | undefined;
  /** Whose turn it is: no other tenant's turn goes on from it. Undefined where callers need no key. */
  readonly tenant?: TenantName | undefined;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  /** Tokens that it generated; undefined where it counts against no budget, and in records of earlier builds. */
  readonly tokens?: number;
}

/** Tells the owner how a turn ended. Repeating it changes nothing. */
export interface EndTurnRequest {
  readonly partition: number;
  readonly program: ProgramId;
  readonly session: string | undefined;
  readonly turn: RequestId;
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Tokens that the caller was handed. */
  readonly tokens: number;
  readonly runner: RunnerId | undefined;
  /** Set when the turn ended whole, its route retains turns, and the store has it. */
  readonly retained: RetainedTurnContent | undefined;
}

/** The owner's answer. */
export interface EndTurnResponse {
  readonly type: "ended";
}

/** Asks a gateway for a turn in its memory. */
export interface FindTurnRequest {
  readonly turn: RequestId;
}

/** The gateway's answer. */
export type FindTurnResponse =
  | { readonly type: "found"; readonly content: RetainedTurnContent }
  | { readonly type: "absent" };

/**
 * Asks the owner of a tenant's limit whether some requests may go on. What it grants is used or lost; a question that is
 * repeated, since its answer did not come, gets the same answer.
 */
export interface AdmitRequestsRequest {
  readonly partition: number;
  readonly tenant: TenantName;
  readonly wanted: number;
  /** The limit in force at the gateway that asks, and the version of its configuration. */
  readonly limit: RateLimit;
  readonly limitVersion: number;
  /** Rises with each new question of a gateway; left out by older builds. */
  readonly question?: number;
}

/** The owner's answer. */
export type AdmitRequestsResponse = RateAnswer;

/** Asks the dispatcher of some runners for a place for a call. Nothing of it is kept in the store. */
export interface AskPlaceRequest {
  readonly pool: string;
  /** The group of runners that is meant; see `src/gateway/places`. */
  readonly group: number;
  readonly call: PlaceCall;
}

/** What the dispatcher says at once. */
export type AskPlaceResponse = PlaceDecision;

/** Tells what has become of a call that was queued. */
export interface PlaceSettled {
  readonly type: "placeSettled";
  readonly lease: number;
  /** Moved: another gateway hands out the places now. */
  readonly decision: PlaceGrant | PlaceRefused | { readonly type: "moved" };
}

/** Gives places back. What is lost on the way is made good by the end of the lease. */
export interface ReturnPlaces {
  readonly type: "returnPlaces";
  readonly returned: readonly ReturnedPlace[];
  /** Calls that asked, and have had no answer in time: they want none any more. */
  readonly withdrawn?: readonly RequestId[];
}

/** Requests between gateways. */
export interface GatewayRpcSchema {
  admitTurn: { request: AdmitTurnRequest; response: AdmitTurnResponse };
  endTurn: { request: EndTurnRequest; response: EndTurnResponse };
  admitRequests: { request: AdmitRequestsRequest; response: AdmitRequestsResponse };
  /** Makes a call to the store for a peer that does not reach it itself. */
  callStore: { request: StoreCall; response: StoreCallOutcome };
  findTurn: { request: FindTurnRequest; response: FindTurnResponse };
  askPlace: { request: AskPlaceRequest; response: AskPlaceResponse };
}

/** Every message between gateways. */
export type GatewayMessage =
  | Heartbeat
  | MemberDigest
  | PlaceSettled
  | ReturnPlaces
  | RpcRequest<GatewayRpcSchema>
  | RpcResponse<GatewayRpcSchema>;
