/** What gateways say to each other. */
import type { RpcRequest, RpcResponse } from "../messages/rpc-messages.ts";
import type { NodeReport } from "../scheduling/runner-board/node-report.ts";

/** Where a gateway is in its life. Only ready ones are given to callers; only they own partitions. */
export type GatewayState = "starting" | "ready" | "stopping";

/** A gateway says that it is alive, and what others need to know of it. */
export interface Heartbeat {
  readonly type: "heartbeat";
  readonly name: string;
  readonly zone: string;
  /** Where callers reach it. */
  readonly callerAddress: string;
  readonly state: GatewayState;
  readonly storeReachable: boolean;
  /** Partitions that it owns, with the epochs of its ownership. */
  readonly owned: readonly (readonly [partition: number, epoch: number])[];
  /** Its requests at runners. */
  readonly runners: NodeReport;
  /** Addresses of gateways that it knows; only now and then. */
  readonly peers: readonly string[];
}

/** Asks the owner of a program's partition whether a turn may run. Repeating it changes nothing. */
export interface AdmitTurnRequest {
  readonly partition: number;
  readonly program: string;
  readonly session: string | undefined;
  readonly turn: string;
  /** Undefined where the program has no budget. */
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Undefined where the caller sends the whole prompt itself. */
  readonly history: { readonly previousTurn: string | undefined } | undefined;
}

/** The owner's answer. */
export type AdmitTurnResponse =
  | {
      readonly type: "granted";
      /** Input and output of every turn before, oldest first. */
      readonly history: readonly Uint8Array[];
      /** The runner that ran the turn before, and holds its prompt. */
      readonly runner: string | undefined;
    }
  | { readonly type: "exhausted"; readonly spent: number }
  | { readonly type: "noSuchTurn" }
  /** The owner cannot be sure now. */
  | { readonly type: "unavailable"; readonly detail: string };

/** A turn that has ended and is kept. */
export interface RetainedTurnContent {
  readonly previousTurn: string | undefined;
  readonly input: Uint8Array;
  readonly output: Uint8Array;
}

/** Tells the owner how a turn ended. Repeating it changes nothing. */
export interface EndTurnRequest {
  readonly partition: number;
  readonly program: string;
  readonly session: string | undefined;
  readonly turn: string;
  readonly budget: { readonly tokens: number; readonly most: number } | undefined;
  /** Tokens that the caller was handed. */
  readonly tokens: number;
  readonly runner: string | undefined;
  /** Set when the turn ended whole and its route retains turns. */
  readonly retained: RetainedTurnContent | undefined;
}

/** The owner's answer; a retained turn is in the store by then. */
export type EndTurnResponse =
  | { readonly type: "ended" }
  | { readonly type: "unavailable"; readonly detail: string };

/** Requests between gateways. */
export interface GatewayRpcSchema {
  admitTurn: { request: AdmitTurnRequest; response: AdmitTurnResponse };
  endTurn: { request: EndTurnRequest; response: EndTurnResponse };
}

/** Every message between gateways. */
export type GatewayMessage = Heartbeat | RpcRequest<GatewayRpcSchema> | RpcResponse<GatewayRpcSchema>;
