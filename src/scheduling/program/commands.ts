import type { Problem } from "../../errors/problem.ts";
import type { Decision } from "../decision/decision.ts";
import type { CallOutcome, CallRequest, EndReason, ForkPoint, Reservation } from "./records.ts";

/** Opens a program. Opening one that exists with the same content changes nothing. */
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

/** Ends a program; it takes no more calls. */
export interface EndProgram {
  readonly type: "endProgram";
  readonly program: string;
  readonly reason: EndReason;
  readonly atMs: number;
}

/** Drops ended programs from memory. */
export interface ForgetPrograms {
  readonly type: "forgetPrograms";
  readonly programs: readonly string[];
}

/** Records that a call is about to be sent. Must be committed before its first byte leaves. */
export interface IntendCall {
  readonly type: "intendCall";
  readonly program: string;
  readonly call: string;
  readonly number: number;
  readonly request: CallRequest;
  readonly requestHash: string;
  readonly repeatable: boolean;
  readonly reservation: Reservation;
  /** Address of the node that carries the call out. */
  readonly executor: string;
  readonly atMs: number;
}

/** Records that a repeatable call is about to be sent again. */
export interface RetryCall {
  readonly type: "retryCall";
  readonly call: string;
  readonly attempt: number;
  /** Address of the node that carries the new attempt out. */
  readonly executor: string;
  readonly atMs: number;
}

/** Records how a call ended. Must be committed before the caller sees the end. */
export interface FinishCall {
  readonly type: "finishCall";
  readonly call: string;
  readonly attempt: number;
  readonly outcome: CallOutcome;
  /** Tokens to charge; at most what was reserved. */
  readonly chargedTokens: number;
  readonly serviceMs: number;
  readonly decision: Decision;
  readonly atMs: number;
}

/** Records that a call was refused: from then on it can never run. */
export interface RefuseCall {
  readonly type: "refuseCall";
  readonly program: string;
  readonly call: string;
  readonly problem: Problem;
  readonly decision: Decision;
  readonly atMs: number;
}

/** The commands that change programs. */
export type ProgramCommand =
  | OpenProgram
  | RefuseProgram
  | EndProgram
  | ForgetPrograms
  | IntendCall
  | RetryCall
  | FinishCall
  | RefuseCall;
