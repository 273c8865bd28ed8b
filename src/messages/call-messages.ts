import type { Problem } from "../errors/problem.ts";
import type { CallAnswer, CallRequest } from "../scheduling/program/records.ts";

/** The node that a caller speaks to hands a call to the leader of the program's shard; sent again until an answer comes. */
export interface SubmitCall {
  readonly type: "submitCall";
  readonly program: string;
  readonly call: string;
  readonly tenant: string;
  /** The call's number; undefined for the next free one. */
  readonly number: number | undefined;
  readonly request: CallRequest;
  /** The part of the answer that the caller has already seen, after a break. */
  readonly receivedText: string;
  /** How long the caller waits, in ms from now. */
  readonly patienceMs: number;
}

/** The caller hung up: nobody waits for the call any more. */
export interface AbandonCall {
  readonly type: "abandonCall";
  readonly call: string;
}

/** The leader has taken the call; repeated as a sign of life while it runs. */
export interface CallAccepted {
  readonly type: "callAccepted";
  readonly call: string;
}

/** The receiver does not lead the program's shard. */
export interface CallRedirected {
  readonly type: "callRedirected";
  readonly call: string;
  /** Address of the leader, if the receiver knows it. */
  readonly leader: string | undefined;
}

/** A piece of the answer's text. */
export interface CallChunk {
  readonly type: "callChunk";
  readonly call: string;
  /** Position of the piece in the answer's text, in UTF-16 units. */
  readonly offset: number;
  readonly text: string;
}

/** The committed end of a call, with the whole answer. */
export interface CallFinished {
  readonly type: "callFinished";
  readonly call: string;
  readonly number: number;
  readonly answer: CallAnswer;
}

/** The committed end of a call that has no answer. */
export interface CallFailed {
  readonly type: "callFailed";
  readonly call: string;
  readonly problem: Problem;
}

/** Messages from a leader to the node that the caller speaks to about one call. */
export type CallEvent = CallAccepted | CallRedirected | CallChunk | CallFinished | CallFailed;
