import type { Problem } from "../../errors/problem.ts";
import type { Decision } from "../decision/decision.ts";

/** A message of a conversation, as in the chat completions interface. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A message kept in a program's history. */
export interface HistoryEntry extends ChatMessage {
  /** Position from 1. */
  readonly index: number;
  /** The call that added it. */
  readonly call: string;
  /** Hash over program, index, message and the previous entry's hash: a foreign entry would break the chain. */
  readonly hash: string;
}

/** Tokens that a call cost. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Prompt tokens that the engine found in its prefix cache. */
  readonly cachedTokens: number;
}

/** A turn of the model. */
export interface CompletionRequest {
  readonly type: "completion";
  readonly model: string;
  /** Only the new messages; the history is the scheduler's. */
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** A call to a tool or application service. */
export interface ServiceRequest {
  readonly type: "service";
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
  /** The caller forbids a second sending, whatever the template allows. */
  readonly neverRepeat: boolean;
}

/** What a call asks for. */
export type CallRequest = CompletionRequest | ServiceRequest;

/** The answer to a turn of the model. */
export interface CompletionAnswer {
  readonly type: "completion";
  readonly text: string;
  readonly finishReason: string;
  readonly usage: Usage;
  readonly runner: string;
}

/** The answer of a service. */
export interface ServiceAnswer {
  readonly type: "service";
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A whole answer. */
export type CallAnswer = CompletionAnswer | ServiceAnswer;

/** How a call ended. */
export type CallOutcome =
  | { readonly type: "answered"; readonly answer: CallAnswer }
  | { readonly type: "failed"; readonly problem: Problem };

/** Tokens set aside for a call before it may leave. */
export interface Reservation {
  readonly budget: string;
  readonly tokens: number;
}

/** A call of a program, from its committed intent on. */
export interface CallRecord {
  readonly id: string;
  readonly number: number;
  readonly requestHash: string;
  /** Dropped once the call has ended. */
  readonly request: CallRequest | undefined;
  /** Whether it may be sent to a back end a second time. */
  readonly repeatable: boolean;
  /** Counts the times it may have been sent; 1 is the first. */
  readonly attempt: number;
  /** Address of the node that carries the call out; after a change of leader it may still be doing so. */
  readonly executor: string;
  readonly reservation: Reservation;
  readonly startedAtMs: number;
  readonly endedAtMs: number | undefined;
  readonly outcome: CallOutcome | undefined;
  readonly decision: Decision | undefined;
}

/** A call that was refused, and never ran nor will run. */
export interface RefusalRecord {
  readonly id: string;
  readonly problem: Problem;
  readonly decision: Decision;
}

/** A program that was refused. */
export interface RefusedProgram {
  readonly program: string;
  readonly tenant: string;
  readonly problem: Problem;
  readonly decision: Decision;
}

/** Where a child program's history was forked from. */
export interface ForkPoint {
  readonly program: string;
  /** The parent's call after which the fork was made; 0 for its start. */
  readonly afterCall: number;
}

/** Why a program ended. */
export type EndReason = "completed" | "abandoned" | "limit" | "operator";

/** A program and everything that must outlive the node that runs it. */
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
  /** The number that the next call must have. */
  nextNumber: number;
  /** Tokens of the whole history, as the engine counted them. */
  historyTokens: number;
  /** Tokens charged so far. */
  chargedTokens: number;
  /** Time spent in back ends so far, in ms; orders programs by attained service. */
  attainedServiceMs: number;
  history: HistoryEntry[];
  calls: CallRecord[];
  /** The newest refusals, whole. */
  refusals: RefusalRecord[];
  /** The calls that were refused, all of them: none may run later. */
  refusedCalls: string[];
}
