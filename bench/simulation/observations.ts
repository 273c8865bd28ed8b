/** What callers, operators and back ends observed, for the checkers. */
import type { ProblemOutcome } from "../../src/errors/problem.ts";

/** A turn as its caller observed it. */
export interface ObservedTurn {
  readonly program: string;
  readonly question: string;
  readonly expectedLength: number;
  /** The concatenated text of the stream. */
  readonly streamed: string;
  readonly outcome: "answered" | ProblemOutcome;
  /** Whether the stream was interrupted because a different answer had been committed. */
  readonly interrupted: boolean;
  /** The text in the last event; undefined if there was no answer. */
  readonly answer: string | undefined;
}

/** A deposit or charge as its caller observed it. */
export interface ObservedCharge {
  readonly program: string;
  readonly body: string;
  readonly outcome: "answered" | ProblemOutcome;
}

/** A program's history, as read before the program was ended. */
export interface ObservedHistory {
  readonly program: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
}

/** An attempted configuration change and its outcome. */
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

/** An engine that accepted work although it was leaving. */
export interface ObservedLateWork {
  readonly engine: string;
  readonly afterLeavingMs: number;
}

/** All observations of one run. */
export class Observations {
  readonly turns: ObservedTurn[] = [];
  readonly charges: ObservedCharge[] = [];
  readonly histories: ObservedHistory[] = [];
  readonly changes: ObservedChange[] = [];
  readonly probes: ObservedProbe[] = [];
  readonly lateWork: ObservedLateWork[] = [];
  /** Number of callers that have not finished. */
  unfinished = 0;
  /** Number of calls without an answer. Such failures are allowed under faults. */
  failures = 0;
}
