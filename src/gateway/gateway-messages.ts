/** Messages that gateways send to each other. */

import type { RateAnswer, RateLimit } from "../coordination/request-rate/index.ts";
import type { RpcRequest, RpcResponse } from "../messages/rpc-messages.ts";
import type { Headroom } from "../scheduling/caller-spread/headroom.ts";
import type { ProgramId } from "../scheduling/ids/program-id.ts";
import type { RequestFingerprint } from "../scheduling/ids/request-fingerprint.ts";
import type { RequestId } from "../scheduling/ids/request-id.ts";
import type { RunnerId } from "../scheduling/ids/runner-id.ts";
import type { SoftwareVersion } from "../scheduling/ids/software-version.ts";
import type { TenantName } from "../scheduling/ids/tenant-name.ts";
import type {
  PlaceCall,
  PlaceDecision,
  PlaceGrant,
  PlaceRefused,
  ReturnedPlace,
} from "../scheduling/place-queue/index.ts";
import type {
  KnownSuspect,
  SuspectOutcome,
  SuspectRun,
  SuspectVerdict,
} from "../scheduling/poison-requests/index.ts";
import type { LoadReport } from "../scheduling/runner-balancing/load-report.ts";
import type { StreamKey, StreamOrigin } from "../scheduling/stream-versions/index.ts";
import type { StoreCall, StoreCallOutcome } from "./store/store-call.ts";

/** Lifecycle state of a gateway. Only ready gateways are listed for callers and may claim partitions. */
export type GatewayState = "starting" | "ready" | "stopping";

/** What a gateway reports about itself. */
export interface MemberStatus {
  /** Increases with each change of the status within one incarnation of the gateway. */
  readonly revision: number;
  readonly name: string;
  readonly zone: string;
  /** Address at which callers reach it. */
  readonly callerAddress: string;
  readonly state: GatewayState;
  /** Whether it can reach the store, over its own connections or through a peer. */
  readonly storeReachable: boolean;
  /** Whether its own connections to the store work, so that it can relay the calls of others. */
  readonly storeDirect: boolean;
  /** Partitions that it owns, with the epochs of its ownership. */
  readonly owned: readonly (readonly [partition: number, epoch: number])[];
  /** Newest version of the gateway protocol that it supports; undefined for builds older than this field. */
  readonly protocol?: number;
  /** Capacity left for more callers, in coarse steps; undefined for builds that do not report it. */
  readonly headroom?: Headroom;
}

/** Tells a peer that the sender is alive, with its current status. */
export interface Heartbeat extends MemberStatus {
  readonly type: "heartbeat";
  /** Requests that the sender has in flight at runners. */
  readonly runners: LoadReport;
  /** Addresses of gateways that the sender knows; sent only from time to time. */
  readonly peers: readonly string[];
  /** Whether the sender missed a digest of the receiver and needs the complete state again. */
  readonly missedDigest: boolean;
}

/** Status of a gateway from which a relay receives heartbeats, as the relay forwards it. */
export interface RelayedMember {
  readonly address: string;
  readonly instance: string;
  readonly status: MemberStatus;
}

/** Forwards to the receiver what has changed among the gateways from which the relay receives heartbeats. */
export interface MemberDigest {
  readonly type: "memberDigest";
  /** Sequence number of the relay's digests to this receiver. */
  readonly sequence: number;
  /** Gateways that are new or whose status has changed. */
  readonly changed: readonly RelayedMember[];
  /** Incarnations from which the relay no longer receives heartbeats. */
  readonly lost: readonly string[];
  /** Whether `changed` lists every gateway from which the relay receives heartbeats. */
  readonly whole: boolean;
  /** Requests at runners, summed by zone, of the gateways that send the receiver no heartbeats themselves. */
  readonly loads: readonly (readonly [zone: string, report: LoadReport])[];
}

/** Asks the owner of a program's partition whether a turn may run. Idempotent. */
export interface AdmitTurnRequest {
  readonly partition: number;
  readonly program: ProgramId;
  readonly session: string | undefined;
  readonly turn: RequestId;
  /** Undefined if the program has no budget. */
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Undefined if the caller sends the whole prompt itself. */
  readonly history:
    | { readonly previousTurn: RequestId | undefined; readonly tenant?: TenantName | undefined }
    | undefined;
}

/** The owner's decision on a turn. */
export type AdmitTurnResponse =
  | {
      readonly type: "granted";
      /** Input and output of every previous turn, oldest first. */
      readonly history: readonly Uint8Array[];
      /** The runner that ran the previous turn and has its prompt cached. */
      readonly runner: RunnerId | undefined;
    }
  | { readonly type: "exhausted"; readonly spent: number }
  | { readonly type: "noSuchTurn" }
  /** The owner cannot decide at present. */
  | { readonly type: "unavailable"; readonly detail: string };

/** Content of a finished turn that is retained so that later turns can continue it. */
export interface RetainedTurnContent {
  readonly previousTurn: RequestId | undefined;
  /** The tenant that the turn belongs to; no other tenant can continue it. Undefined if callers need no key. */
  readonly tenant?: TenantName | undefined;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
  /** Tokens that it generated; undefined if it counts against no budget, and in records of earlier builds. */
  readonly tokens?: number;
}

/** Tells the owner of a program's partition how a turn ended. Idempotent. */
export interface EndTurnRequest {
  readonly partition: number;
  readonly program: ProgramId;
  readonly session: string | undefined;
  readonly turn: RequestId;
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Tokens that were delivered to the caller. */
  readonly tokens: number;
  readonly runner: RunnerId | undefined;
  /** Set if the turn completed, its route retains turns, and the store holds it. */
  readonly retained: RetainedTurnContent | undefined;
}

/** The owner's acknowledgement that it has recorded the end of a turn. */
export interface EndTurnResponse {
  readonly type: "ended";
}

/** Asks a gateway for a turn that it may hold in memory. */
export interface FindTurnRequest {
  readonly turn: RequestId;
}

/** The turn, or the answer that the gateway does not hold it. */
export type FindTurnResponse =
  | { readonly type: "found"; readonly content: RetainedTurnContent }
  | { readonly type: "absent" };

/**
 * Asks the owner of a tenant's rate limit to admit some requests. Grants that are not used are lost. A question that is
 * repeated because its answer was lost gets the same answer.
 */
export interface AdmitRequestsRequest {
  readonly partition: number;
  readonly tenant: TenantName;
  readonly wanted: number;
  /** The limit in force at the asking gateway, with the version of its configuration. */
  readonly limit: RateLimit;
  readonly limitVersion: number;
  /** Increases with each new question of a gateway; omitted by older builds. */
  readonly question?: number;
}

/** How many of the requests the owner of the limit admits. */
export type AdmitRequestsResponse = RateAnswer;

/** Asks the dispatcher of a group of runners for a place for a call. Nothing about it is stored. */
export interface AskPlaceRequest {
  readonly pool: string;
  /** Number of the group within the pool's runners; see `src/gateway/places`. */
  readonly group: number;
  readonly call: PlaceCall;
}

/** The dispatcher's immediate answer: granted, refused or queued. */
export type AskPlaceResponse = PlaceDecision;

/** Reports the final decision on a call that was queued. */
export interface PlaceSettled {
  readonly type: "placeSettled";
  readonly lease: number;
  /** `moved` means that another gateway has become the dispatcher. */
  readonly decision: PlaceGrant | PlaceRefused | { readonly type: "moved" };
}

/** Returns places to their dispatcher. If the message is lost, the places become free when their leases expire. */
export interface ReturnPlaces {
  readonly type: "returnPlaces";
  readonly returned: readonly ReturnedPlace[];
  /** Calls that asked for a place, got no answer in time and no longer need one. */
  readonly withdrawn?: readonly RequestId[];
}

/** A stream that has begun, as its gateway tells the gateways that remember it. */
export interface BegunStream extends StreamOrigin {
  readonly stream: StreamKey;
}

/** Asks the receiver to remember where streams began. Lost messages are not repeated. */
export interface StreamsBegun {
  readonly type: "streamsBegun";
  readonly streams: readonly BegunStream[];
}

/** Asks a gateway whether it remembers where a stream began, and what it has read of the versions of the pool. */
export interface FindStreamRequest {
  /** Undefined if the caller does not name the request that began the stream. */
  readonly stream: StreamKey | undefined;
  readonly pool: string;
}

/** What a gateway knows of the origin of a stream. */
export type FindStreamResponse =
  | { readonly type: "known"; readonly origin: StreamOrigin }
  /** Without an entry. `onlyVersion` is the version at which every stream of the pool began, if there was only one. */
  | { readonly type: "absent"; readonly onlyVersion: SoftwareVersion | undefined }
  | { readonly type: "ambiguous" };

/** A run of a request, as it is reported to the gateways that remember under which requests runners have ended. */
export interface ReportedRun {
  readonly pool: string;
  readonly fingerprint: RequestFingerprint;
  readonly request: RequestId;
  readonly runner: RunnerId;
}

/** The receiver remembers that a runner has ended under a request. */
export interface RunnerLossRecorded {
  readonly type: "recorded";
}

/** Reports that a request was run to its end: it does not end runners. */
export interface SuspectCleared {
  readonly type: "suspectCleared";
  readonly pool: string;
  readonly fingerprint: RequestFingerprint;
}

/** Reports that a run of a suspect has ended and its runner has not. Lost messages are not repeated. */
export interface SuspectRunEnded extends ReportedRun {
  readonly type: "suspectRunEnded";
  readonly outcome: SuspectOutcome;
}

/** A runner is left to one run for so long, if others can be used instead; 0 if it no longer is. */
export interface RunnerReserved {
  readonly type: "runnerReserved";
  readonly runner: RunnerId;
  readonly leaseMs: number;
}

/** Tells of requests under which several runners have ended. */
export interface SuspectsKnown {
  readonly type: "suspectsKnown";
  readonly suspects: readonly KnownSuspect[];
}

/** Requests and responses of the RPCs between gateways. */
export interface GatewayRpcSchema {
  admitTurn: { request: AdmitTurnRequest; response: AdmitTurnResponse };
  endTurn: { request: EndTurnRequest; response: EndTurnResponse };
  admitRequests: { request: AdmitRequestsRequest; response: AdmitRequestsResponse };
  /** Makes a call to the store on behalf of a peer that cannot reach it. */
  callStore: { request: StoreCall; response: StoreCallOutcome };
  findTurn: { request: FindTurnRequest; response: FindTurnResponse };
  findStream: { request: FindStreamRequest; response: FindStreamResponse };
  /** Reports that a runner has ended under a request. */
  recordRunnerLoss: { request: ReportedRun; response: RunnerLossRecorded };
  /** Asks whether a run of a request may begin under which runners have ended. */
  admitSuspect: { request: SuspectRun; response: SuspectVerdict };
  askPlace: { request: AskPlaceRequest; response: AskPlaceResponse };
}

/** Any message between gateways. */
export type GatewayMessage =
  | Heartbeat
  | MemberDigest
  | PlaceSettled
  | ReturnPlaces
  | StreamsBegun
  | SuspectRunEnded
  | SuspectCleared
  | SuspectsKnown
  | RunnerReserved
  | RpcRequest<GatewayRpcSchema>
  | RpcResponse<GatewayRpcSchema>;
