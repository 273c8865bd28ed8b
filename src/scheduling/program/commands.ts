import type { Problem } from "../../errors/problem.ts";
import type { Decision } from "../decision/decision.ts";
import type { CallOutcome, CallRequest, EndReason, ForkPoint, Reservation } from "./records.ts";

/** Opens a program. Opening an existing program again with the same content changes nothing. */
export interface OpenProgram {
  readonly type: "openProgram";
  readonly program: string;
  readonly tenant: string;
  readonly template: string;
  readonly parent: ForkPoint | undefined;
  readonly deadlineAtMs: number | undefined;
  readonly decision: Decision;
  readonly atMs: number;
}

/** Records that a program was refused. */
export interface RefuseProgram {
  readonly type: "refuseProgram";
  readonly program: string;
  readonly tenant: string;
  readonly problem: Problem;
  readonly decision: Decision;
}

/** Ends a program. An ended program accepts no more calls. */
export interface EndProgram {
  readonly type: "endProgram";
  readonly program: string;
  readonly reason: EndReason;
  readonly atMs: number;
}

/** Removes ended programs from memory. */
export interface ForgetPrograms {
  readonly type: "forgetPrograms";
  readonly programs: readonly string[];
}

/** Records that a call is about to be sent. Must be committed before the first byte of the call is sent. */
export interface IntendCall {
  readonly type: "intendCall";
  readonly program: string;
  readonly call: string;
  readonly number: number;
  readonly request: CallRequest;
  readonly requestHash: string;
  readonly repeatable: boolean;
  readonly reservation: Reservation;
  /** Address of the node that executes the call. */
  readonly executor: string;
  readonly atMs: number;
}

/** Records that a repeatable call is about to be sent again. */
export interface RetryCall {
  readonly type: "retryCall";
  readonly call: string;
  readonly attempt: number;
  /** Address of the node that executes the new attempt. */
  readonly executor: string;
  readonly atMs: number;
}

/** Records how a call ended. Must be committed before the caller sees the result. */
export interface FinishCall {
  readonly type: "finishCall";
  readonly call: string;
  readonly attempt: number;
  readonly outcome: CallOutcome;
  /** Tokens to charge, at most the reserved number. */
  readonly chargedTokens: number;
  readonly serviceMs: number;
  readonly decision: Decision;
  readonly atMs: number;
}

/** Records that a call was refused. A refused call can never run later. */
export interface RefuseCall {
  readonly type: "refuseCall";
  readonly program: string;
  readonly call: string;
  readonly problem: Problem;
  readonly decision: Decision;
  readonly atMs: number;
}

/** Any command that changes a program. */
export type ProgramCommand =
  | OpenProgram
  | RefuseProgram
  | EndProgram
  | ForgetPrograms
  | IntendCall
  | RetryCall
  | FinishCall
  | RefuseCall;
