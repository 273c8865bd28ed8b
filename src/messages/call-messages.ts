import type { Problem } from "../errors/problem.ts";
import type { CallAnswer, CallRequest } from "../scheduling/program/records.ts";

/**
 * Submits a call to the leader of the program's shard. Sent by the node that the caller is connected to, and repeated until
 * the leader answers.
 */
export interface SubmitCall {
  readonly type: "submitCall";
  readonly program: string;
  readonly call: string;
  readonly tenant: string;
  /** Number of the call in its program; undefined requests the next free number. */
  readonly number: number | undefined;
  readonly request: CallRequest;
  /** Answer text that the caller received before the call was interrupted. */
  readonly receivedText: string;
  /** How long the caller still waits, in ms from the time of sending. */
  readonly patienceMs: number;
}

/** Reports that the caller closed its connection, so that no client waits for the call any more. */
export interface AbandonCall {
  readonly type: "abandonCall";
  readonly call: string;
}

/** Confirms that the leader accepted the call. Repeated as a heartbeat while the call runs. */
export interface CallAccepted {
  readonly type: "callAccepted";
  readonly call: string;
}

/** Reports that the receiver of a `submitCall` does not lead the program's shard. */
export interface CallRedirected {
  readonly type: "callRedirected";
  readonly call: string;
  /** Address of the leader, if the receiver knows it. */
  readonly leader: string | undefined;
}

/** Part of the answer's text. */
export interface CallChunk {
  readonly type: "callChunk";
  readonly call: string;
  /** Position of the part in the answer's text, in UTF-16 code units. */
  readonly offset: number;
  readonly text: string;
}

/** Reports that a call has finished and its outcome is committed; carries the complete answer. */
export interface CallFinished {
  readonly type: "callFinished";
  readonly call: string;
  readonly number: number;
  readonly answer: CallAnswer;
}

/** Reports that a call has failed and its outcome is committed. */
export interface CallFailed {
  readonly type: "callFailed";
  readonly call: string;
  readonly problem: Problem;
}

/** Messages about one call, from the leader to the node that the caller is connected to. */
export type CallEvent = CallAccepted | CallRedirected | CallChunk | CallFinished | CallFailed;
