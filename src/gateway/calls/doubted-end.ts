/**
 * The end of a stream that only the end of its connection has told. A runner that breaks off between two events looks like
 * one that is done, until another run has been asked for what follows.
 */
import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";

/** How long runners are asked again that can take no further run now, in ms. After that the caller does better elsewhere. */
const MAX_WAIT_MS = 500;

export class DoubtedEnd {
  readonly head: HttpAnswerHead;
  readonly #doubtedAtMs: number;

  constructor(head: HttpAnswerHead, nowMs: number) {
    this.head = head;
    this.#doubtedAtMs = nowMs;
  }

  /** Whether runners are asked again. */
  mayWait(nowMs: number): boolean {
    return nowMs - this.#doubtedAtMs < MAX_WAIT_MS;
  }
}
