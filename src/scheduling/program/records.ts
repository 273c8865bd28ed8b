import type { Problem } from "../../errors/problem.ts";
import type { Decision } from "../decision/decision.ts";

/** A message of a conversation, as in the chat completions API. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A message kept in a program's history. */
export interface HistoryEntry extends ChatMessage {
  /** Position in the history, starting at 1. */
  readonly index: number;
  /** Identifier of the call that added the message. */
  readonly call: string;
  /** Hash of program, index, message and the previous entry's hash. An entry of another program breaks the chain. */
  readonly hash: string;
}

/** The tokens that a call used. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Prompt tokens that were found in the engine's prefix cache. */
  readonly cachedTokens: number;
}

/** A request for one turn of the model. */
export interface CompletionRequest {
  readonly type: "completion";
  readonly model: string;
  /** Only the new messages; the scheduler holds the history. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** A request to a tool or application service. */
export interface ServiceRequest {
  readonly type: "service";
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
  /** Whether the caller forbids sending the request again, whatever the template allows. */
  readonly neverRepeat: boolean;
}

/** The request of a call. */
export type CallRequest = CompletionRequest | ServiceRequest;

/** The answer to a {@link CompletionRequest}. */
export interface CompletionAnswer {
  readonly type: "completion";
  readonly text: string;
  readonly finishReason: string;
  readonly usage: Usage;
  readonly runner: string;
}

/** The answer to a {@link ServiceRequest}. */
export interface ServiceAnswer {
  readonly type: "service";
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** Set if only the end of the connection told the end of the answer, which may be short. */
  readonly mayBeShort?: true;
}

/** A complete answer to a call. */
export type CallAnswer = CompletionAnswer | ServiceAnswer;

/** How a call ended. */
export type CallOutcome =
  | { readonly type: "answered"; readonly answer: CallAnswer }
  | { readonly type: "failed"; readonly problem: Problem };

/** Tokens reserved for a call before it may be sent. */
export interface Reservation {
  readonly budget: string;
  readonly tokens: number;
}

/** A call of a program, recorded from the moment its intent is committed. */
export interface CallRecord {
  readonly id: string;
  readonly number: number;
  readonly requestHash: string;
  /** Undefined after the call has ended. */
  readonly request: CallRequest | undefined;
  /** Whether the call may be sent to a back end more than once. */
  readonly repeatable: boolean;
  /** Number of the current attempt, starting at 1. Each attempt may have reached a back end. */
  readonly attempt: number;
  /** Address of the node that executes the call, possibly still after a change of leader. */
  readonly executor: string;
  readonly reservation: Reservation;
  readonly startedAtMs: number;
  readonly endedAtMs: number | undefined;
  readonly outcome: CallOutcome | undefined;
  readonly decision: Decision | undefined;
}

/** A refused call, which never ran and never will. */
export interface RefusalRecord {
  readonly id: string;
  readonly problem: Problem;
  readonly decision: Decision;
}

/** A refused program. */
export interface RefusedProgram {
  readonly program: string;
  readonly tenant: string;
  readonly problem: Problem;
  readonly decision: Decision;
}

/** The point in the parent's history from which a child program was forked. */
export interface ForkPoint {
  readonly program: string;
  /** Number of the parent's call after which the fork was made; 0 for the start of the parent. */
  readonly afterCall: number;
}

/** Why a program ended. */
export type EndReason = "completed" | "abandoned" | "limit" | "operator";

/** A program, with all state that must survive the loss of the node that runs it. */
export interface ProgramRecord {
  readonly id: string;
  readonly tenant: string;
  readonly template: string;
  readonly parent: ForkPoint | undefined;
  readonly depth: number;
  readonly openedAtMs: number;
  readonly deadlineAtMs: number | undefined;
  /** Why the program was admitted. */
  readonly decision: Decision;
  endedAtMs: number | undefined;
  endReason: EndReason | undefined;
  lastActiveAtMs: number;
  /** Number that the next call must have. */
  nextNumber: number;
  /** Tokens of the whole history, as counted by the engine. */
  historyTokens: number;
  /** Tokens charged so far. */
  chargedTokens: number;
  /** Time spent in back ends so far, in ms; used to order programs by attained service. */
  attainedServiceMs: number;
  history: HistoryEntry[];
  calls: CallRecord[];
  /** The most recent refusals, with their details. */
  refusals: RefusalRecord[];
  /** Identifiers of all refused calls, none of which may run later. */
  refusedCalls: string[];
}
