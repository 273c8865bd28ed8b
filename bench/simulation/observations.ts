/** What callers, operators and back ends saw. The checkers read nothing else. */
import type { ProblemOutcome } from "../../src/errors/problem.ts";

/** A turn, as its caller saw it. */
export interface ObservedTurn {
  readonly program: string;
  readonly question: string;
  readonly expectedLength: number;
  /** The text as it was streamed. */
  readonly streamed: string;
  readonly outcome: "answered" | ProblemOutcome;
  /** Whether the stream was ended because another answer had been committed. */
  readonly interrupted: boolean;
  /** The text in the last event; undefined without an answer. */
  readonly answer: string | undefined;
}

/** A deposit or charge, as its caller saw it. */
export interface ObservedCharge {
  readonly program: string;
  readonly body: string;
  readonly outcome: "answered" | ProblemOutcome;
}

/** A program's history as it was read at the end. */
export interface ObservedHistory {
  readonly program: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
}

/** An accepted or refused change of configuration. */
export interface ObservedChange {
  readonly change: string;
  readonly outcome: "accepted" | "conflict" | "unknown";
  readonly version: number;
  readonly atMs: number;
}

/** A call that tests whether a withdrawn model is still served. */
export interface ObservedProbe {
  readonly startedMs: number;
  readonly served: boolean;
}

/** An engine that took work although it was leaving. */
export interface ObservedLateWork {
  readonly engine: string;
  readonly afterLeavingMs: number;
}

/** Everything that was seen in one run. */
export class Observations {
  readonly turns: ObservedTurn[] = [];
  readonly charges: ObservedCharge[] = [];
  readonly histories: ObservedHistory[] = [];
  readonly changes: ObservedChange[] = [];
  readonly probes: ObservedProbe[] = [];
  readonly lateWork: ObservedLateWork[] = [];
  /** Callers that never finished. */
  unfinished = 0;
  /** Calls that failed; allowed, and counted. */
  failures = 0;
}
