/**
 * A call whose answer is collected whole before it is sent to the caller. The call is run again only if its route declares
 * that to be safe.
 */

import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import { RoutedCall } from "./routed-call.ts";
import type { AttemptFailure } from "./runner-attempt.ts";

export class BufferedCall extends RoutedCall {
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
    let head: HttpAnswerHead | undefined;
    const chunks: Buffer[] = [];
    const isStarted = this.startAttempt(runner, this.exchange.body, this.call.lastEventId, {
      onHead: (answer) => {
        head = answer;
        this.recordHead(answer);
      },
      onData: (chunk) => {
        chunks.push(chunk);
        this.exchange.buffers.add("collected", chunk.length);
        if (this.exchange.buffers.exceedsShare)
          this.failWithUnknownOutcome("there is no memory for the answer");
      },
      findDefect: () => undefined,
      onEnd: () => this.#answer(head, Buffer.concat(chunks)),
      onFailed: (failure) => this.#onFailed(runner, failure),
    });
    if (!isStarted) this.#giveUp("too many runners refused the call");
  }

  protected override mayRetryElsewhere(runner: RunnerEntry): boolean {
    const ran = new Set([...this.mayHaveRun, runner.id]);
    return this.route.kind === "safe" && ran.size < this.route.maxAttempts;
  }

  #answer(head: HttpAnswerHead | undefined, body: Buffer): void {
    if (!head) return this.failWithUnknownOutcome("an answer without a head");
    const { calls } = this.parts.context.platform;
    this.exchange.answer(head.status, calls.headersForCaller(head.rawHeaders), body);
    this.record.firstByteMs = this.elapsedMs;
    this.finish({ status: head.status, kind: "answered" });
  }

  #onFailed(runner: RunnerEntry, failure: AttemptFailure): void {
    this.attempt = undefined;
    this.exchange.buffers.set("collected", 0);
    this.recordFailure(runner, failure);
    if (failure.type !== "broken") return this.tryNext();
    const mayRepeat = this.route.kind === "safe" && this.mayHaveRun.size < this.route.maxAttempts;
    if (!mayRepeat) return this.failWithUnknownOutcome(`the runner gave no answer: ${failure.detail}`);
    this.excluded.add(runner.id);
    this.tryNext();
  }

  #giveUp(detail: string): void {
    if (this.mayHaveRun.size > 0) this.failWithUnknownOutcome(detail);
    else this.refuse("overloaded", detail);
  }
}
