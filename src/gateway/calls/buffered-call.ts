/**
 * A call whose answer is collected whole before it is sent to the caller. The call is run again only if its route declares
 * that to be safe. An answer that ended with its connection may be short: such a call is run again to get one whose end is
 * certain, and an answer that stays uncertain is sent without stating its end.
 */

import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import { ByteCollector } from "../../runtime/byte-collector.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import { RoutedCall } from "./routed-call.ts";
import type { AttemptFailure } from "./runner-attempt.ts";

const FIRST_FAILURE_STATUS = 300;
const FIRST_SERVER_ERROR = 500;
/** Size of a collected answer from which a lack of memory counts as its runner's fault, in bytes. */
const LARGE_ANSWER_BYTES = 1_048_576;
/** Fraction of the time left for which an uncertain answer is held back for other runs. */
const MAX_HELD_BACK_FRACTION = 0.5;

/** A runner's answer with its whole body, as far as that arrived. */
interface CollectedAnswer {
  readonly head: HttpAnswerHead;
  readonly body: Buffer;
}

export class BufferedCall extends RoutedCall {
  /** An answer that may be short, while another run may give a certain one. */
  #uncertain: CollectedAnswer | undefined;
  #heldBackTimer: TimerHandle | undefined;

  protected override begin(): void {
    this.tryNext();
  }

  protected override tryNext(): void {
    this.findRunner(undefined, (runner) => {
      if (runner) this.#sendTo(runner);
      else this.#giveUp("no runner can take the call");
    });
  }

  #sendTo(runner: RunnerEntry): void {
    if (!this.hasTimeFor(runner)) return this.#giveUp("no time is left for another runner");
    this.sendOnceAdmitted(runner, () => this.#startAttempt(runner));
  }

  #startAttempt(runner: RunnerEntry): void {
    let head: HttpAnswerHead | undefined;
    const body = new ByteCollector();
    const heldBefore = this.#uncertain?.body.length ?? 0;
    const isStarted = this.startAttempt(runner, this.exchange.body, this.call.lastEventId, {
      onHead: (answer) => {
        head = answer;
        this.recordHead(answer);
      },
      onData: (chunk) => {
        body.push(chunk);
        this.#hold(heldBefore + body.length);
      },
      findDefect: () => undefined,
      onEnd: () => {
        if (head) this.#onAnswer(runner, { head, body: body.bytes });
        else this.failWithUnknownOutcome("an answer without a head");
      },
      onFailed: (failure) => this.#onFailed(runner, failure),
    });
    if (!isStarted) this.#giveUp("too many runners refused the call");
  }

  /** Counts what is collected. Fails the attempt if that is its runner's fault, and the call if memory is short otherwise. */
  #hold(bytes: number): void {
    const { buffers } = this.exchange;
    buffers.set("collected", bytes);
    if (!buffers.exceedsShare) return;
    if (bytes > LARGE_ANSWER_BYTES)
      this.attempt?.failAsExcessive("the answer is larger than its share of memory");
    else this.failWithUnknownOutcome("there is no memory for the answer");
  }

  protected override mayRetryElsewhere(runner: RunnerEntry): boolean {
    const ran = new Set([...this.mayHaveRun, runner.id]);
    return this.route.kind === "safe" && ran.size < this.route.maxAttempts;
  }

  protected override onFinished(): void {
    if (this.#heldBackTimer) this.parts.context.clock.cancel(this.#heldBackTimer);
  }

  /** Ends the call with an error, or with an answer that may be short: the caller learns more from that. */
  protected override fail(status: number, kind: string, detail: string, retryAfterMs?: number): void {
    if (this.#uncertain && !this.isOver) this.#answer(this.#uncertain);
    else super.fail(status, kind, detail, retryAfterMs);
  }

  #onAnswer(runner: RunnerEntry, answer: CollectedAnswer): void {
    const { connectionEnds } = this.parts;
    connectionEnds.record(this.pool.name, answer.head.framing === "connection");
    const best = this.#uncertain ? moreCertainOf(this.#uncertain, answer) : answer;
    if (this.#needsOtherRun(runner, answer.head)) this.#runAgain(runner, best);
    else this.#answer(best);
  }

  #needsOtherRun(runner: RunnerEntry, { framing, status }: HttpAnswerHead): boolean {
    if (framing !== "connection" || status >= FIRST_FAILURE_STATUS) return false;
    return this.mayRetryElsewhere(runner) && !this.parts.connectionEnds.areUsual(this.pool.name);
  }

  #runAgain(runner: RunnerEntry, answer: CollectedAnswer): void {
    this.#uncertain = answer;
    this.doubtEnd(runner);
    this.excluded.add(runner.id);
    this.#heldBackTimer ??= this.parts.context.clock.schedule(this.leftMs * MAX_HELD_BACK_FRACTION, () => {
      if (this.#uncertain) this.#answer(this.#uncertain);
    });
    this.exchange.buffers.set("collected", answer.body.length);
    void this.whenChecked(() => this.tryNext());
  }

  #answer({ head, body }: CollectedAnswer): void {
    this.forwardAnswer(head, body);
    this.record.firstByteMs = this.elapsedMs;
    this.finish({ status: head.status, kind: "answered" });
  }

  #onFailed(runner: RunnerEntry, failure: AttemptFailure): void {
    this.attempt = undefined;
    this.exchange.buffers.set("collected", this.#uncertain?.body.length ?? 0);
    this.recordFailure(runner, failure);
    if (failure.type !== "broken") return this.tryNext();
    const mayRepeat = this.route.kind === "safe" && this.mayHaveRun.size < this.route.maxAttempts;
    if (!mayRepeat) {
      // The caller may come back at another gateway, which has to know by then that the runner has ended.
      const detail = `the runner gave no answer: ${failure.detail}`;
      return void this.whenChecked(() => this.failWithUnknownOutcome(detail));
    }
    this.excluded.add(runner.id);
    void this.whenChecked(() => this.tryNext());
  }

  #giveUp(detail: string): void {
    if (this.mayHaveRun.size > 0) this.failWithUnknownOutcome(detail);
    else this.refuse("overloaded", detail);
  }
}

/** The answer that says more: one whose end is certain, unless its runner failed, else the longer one. */
function moreCertainOf(uncertain: CollectedAnswer, later: CollectedAnswer): CollectedAnswer {
  if (later.head.status >= FIRST_SERVER_ERROR) return uncertain;
  const isCertain = later.head.framing !== "connection";
  return isCertain || later.body.length >= uncertain.body.length ? later : uncertain;
}
