/**
 * A call whose answer is a stream of events: a turn of a program, or a stream of its own. Events are passed on as they
 * come, whole ones only, so that a stream that breaks can go on at the event after the last one.
 */

import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import { mayBegin } from "../../scheduling/admission/program-admission.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerEntry } from "../../scheduling/runner-board/runner-entry.ts";
import { turnUrgency } from "../../scheduling/urgency/turn-urgency.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { AdmitTurnResponse, EndTurnRequest } from "../gateway-messages.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";
import type { RetentionRecord } from "../telemetry/retention-record.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { EventSplitter, type StreamEvent } from "./event-splitter.ts";
import { OWNER_RETRY_AFTER_MS } from "./owner-retry.ts";
import { type CallStart, RoutedCall } from "./routed-call.ts";
import type { AttemptFailure, AttemptListener, AttemptParts } from "./runner-attempt.ts";

/**
 * Longest wait for a place, in ms. Callers take a stream that stays silent for much longer for lost, and their new try would
 * begin behind all others.
 */
const MOST_PLACE_WAIT_MS = 1_500;
const PAYMENT_REQUIRED = 402;
const NOT_FOUND = 404;
const FIRST_FAILURE_STATUS = 300;
/** Output and input bytes are kept as they came. */
const ENCODING = "latin1";

/** See the module's comment. */
export class StreamedCall extends RoutedCall {
  readonly #partitions: PartitionClient;
  readonly #splitter = new EventSplitter();
  readonly #output: string[] = [];
  #history: readonly Uint8Array[] = [];
  #preferred: RunnerId | undefined;
  #admitted = false;
  #startedHead: HttpAnswerHead | undefined;
  #events = 0;
  #lastEventId: number | undefined;
  #lastRunner: RunnerId | undefined;

  constructor(parts: AttemptParts, partitions: PartitionClient, start: CallStart) {
    super(parts, start);
    this.#partitions = partitions;
    this.#lastEventId = this.call.lastEventId;
  }

  protected override begin(): void {
    this.exchange.onRoom(() => this.#holdRunner(false));
    // The answer is kept whole, and what an earlier try has handed to the caller is not known here.
    if (this.route.retainsTurns && this.#lastEventId !== undefined) {
      return this.refuse("cannot-resume", "Send the turn again from its start.");
    }
    if (this.#isTurn) void this.#admit();
    else this.next();
  }

  protected override next(): void {
    const same = this.#sameRunner();
    if (same) return this.#sendTo(same);
    if (this.#runnersLeft <= 0) return this.#giveUp("no runner can take the turn");
    this.seekRunner(this.#preferred, (runner) => {
      if (runner) this.#sendTo(runner);
      else this.#giveUp("no runner can take the turn");
    });
  }

  #sendTo(runner: RunnerEntry): void {
    // A stream that has begun goes on: what it still brings is of use to the caller.
    if (this.#events === 0 && !this.hasTimeAt(runner))
      return this.#giveUp("no time is left for another runner");
    this.#splitter.reset();
    const tried = this.tryAt(runner, this.#body(), this.#lastEventId, this.#listenerFor(runner));
    if (!tried) this.#giveUp("too many runners refused the turn");
  }

  protected override mayMove(runner: RunnerEntry): boolean {
    const ran = new Set([...this.mayHaveRun, runner.id]);
    return this.route.resumable && ran.size < this.route.maxAttempts;
  }

  protected override get mostPlaceWaitMs(): number {
    return Math.min(MOST_PLACE_WAIT_MS, this.leftMs);
  }

  protected override get urgency(): Urgency | undefined {
    const deadlineMs = this.call.program?.deadlineMs;
    if (deadlineMs === undefined) return undefined;
    return turnUrgency({
      timeLeftMs: deadlineMs - this.elapsedMs,
      targetLatencyMs: this.route.targetLatencyMs,
    });
  }

  protected override onOver(): void {
    this.#holdRunner(false);
    if (this.#admitted) void this.#partitions.end(this.#endRequest());
  }

  /** Whether the owner of the program's partition has to be asked. */
  get #isTurn(): boolean {
    const { program } = this.call;
    return program !== undefined && (program.tokenBudget !== undefined || this.route.retainsTurns);
  }

  get #budget(): { tokens: number; most: number } | undefined {
    const tokens = this.call.program?.tokenBudget;
    const most = this.call.maxGeneratedTokens;
    return tokens === undefined || most === undefined ? undefined : { tokens, most };
  }

  async #admit(): Promise<void> {
    const { program, requestId } = this.call;
    if (!program) return;
    const { clock, settings } = this.parts.context;
    const request = {
      partition: this.#partitions.partitionOf(program.id),
      program: program.id,
      session: program.session,
      turn: requestId,
      budget: this.#budget,
      history: this.route.retainsTurns
        ? { previousTurn: program.previousTurn, tenant: this.tenant?.name }
        : undefined,
    };
    const patienceAtMs = Math.min(this.deadlineAtMs, clock.monotonicMs() + settings.timing.ownerWaitMs);
    const askedMs = this.elapsedMs;
    const answer = await this.#partitions.admit(request, patienceAtMs, () => this.over);
    this.#noteAdmission(request.partition, answer, this.elapsedMs - askedMs);
    this.#admitted = answer.type !== "exhausted";
    if (!this.over) this.#onAdmission(answer);
    else if (this.#admitted) this.onOver();
  }

  /** Nobody knows that of programs whose turns no owner admits: none of their turns is taken for the first. */
  protected override get hasBegun(): boolean {
    return !this.#isTurn || this.#preferred !== undefined;
  }

  /** Whether the turn goes on with a program, or the runners have a place for one more. */
  protected override mayBegin(): boolean {
    if (this.hasBegun) return true;
    const { board, context } = this.parts;
    const occupancy = board.occupancy(this.pool.name);
    const { admission } = this.record;
    if (admission) this.record.admission = { ...admission, occupancy: roundedShare(occupancy) };
    return mayBegin({ occupancy, rank: this.rank, sample: context.random.unit() });
  }

  #noteAdmission(partition: number, answer: AdmitTurnResponse, elapsedMs: number): void {
    const spent = answer.type === "exhausted" ? { spentTokens: answer.spent } : {};
    const owner = this.#partitions.ownerOf(partition);
    const previousTurn = this.call.program?.previousTurn;
    const goesOn = previousTurn === undefined ? {} : { previousTurn };
    this.record.admission = { partition, owner, answer: answer.type, ...goesOn, ...spent, elapsedMs };
    this.parts.context.metrics.recordAdmission(answer.type, elapsedMs);
  }

  #noteRetention(heldBy: RetentionRecord["heldBy"], atMs: number): void {
    const elapsedMs = this.elapsedMs - atMs;
    this.record.retention = { heldBy, atMs, elapsedMs };
    this.parts.context.metrics.recordRetention(heldBy, elapsedMs);
  }

  #onAdmission(answer: AdmitTurnResponse): void {
    switch (answer.type) {
      case "granted":
        this.#takeHistory(answer.history);
        this.#preferred = answer.runner;
        return this.next();
      case "exhausted":
        return this.fail(
          PAYMENT_REQUIRED,
          "budget-exhausted",
          `${answer.spent} tokens are spent or promised.`,
        );
      case "noSuchTurn":
        return this.fail(NOT_FOUND, "no-such-turn", "The turn before is not known.");
      case "unavailable":
        return this.refuse("unavailable", answer.detail, OWNER_RETRY_AFTER_MS);
    }
  }

  /** Takes what was said before; it is held twice, as it came and joined with the caller's input. */
  #takeHistory(history: readonly Uint8Array[]): void {
    this.#history = history;
    const bytes = history.reduce((sum, { length }) => sum + length, 0);
    this.exchange.buffers.add("bodies", 2 * bytes);
  }

  /** A stream goes on where it ran, as long as that runner is there: another one would be one more that runs it. */
  #sameRunner(): RunnerEntry | undefined {
    const last = this.#lastRunner;
    if (last === undefined || this.excluded.has(last) || this.silent.has(last)) return undefined;
    return this.mayHaveRun.has(last) ? this.parts.board.ready(last) : undefined;
  }

  /** How many runners more may run the turn; those that are gone do not count. */
  get #runnersLeft(): number {
    const { board } = this.parts;
    const there = [...this.mayHaveRun].filter((id) => board.listed(id) && !this.excluded.has(id));
    return this.route.maxAttempts - there.length;
  }

  #body(): Buffer {
    const { body } = this.exchange;
    return this.#history.length === 0 ? body : Buffer.concat([...this.#history, body]);
  }

  #listenerFor(runner: RunnerEntry): AttemptListener {
    let head: HttpAnswerHead | undefined;
    const failedBody: Buffer[] = [];
    const failed = () => head !== undefined && head.status >= FIRST_FAILURE_STATUS;
    return {
      onHead: (answer) => {
        head = answer;
        this.#lastRunner = runner.id;
      },
      onData: (chunk) => {
        if (failed()) failedBody.push(chunk);
        else for (const event of this.#splitter.push(chunk)) this.#forward(event, head);
        if (this.exchange.isFull) this.#holdRunner(true);
      },
      onEnd: () => {
        if (failed()) this.#answerFailure(runner, head, Buffer.concat(failedBody));
        else void this.#complete(head);
      },
      onFailed: (failure) => this.#onFailed(runner, failure),
    };
  }

  #forward(event: StreamEvent, head: HttpAnswerHead | undefined): void {
    const last = this.#lastEventId;
    if (event.id !== undefined && last !== undefined && event.id <= last) return;
    this.#start(head);
    this.exchange.write(event.bytes);
    this.#events += 1;
    if (event.id !== undefined) this.#lastEventId = event.id;
    if (!this.route.retainsTurns) return;
    this.#output.push(event.data, "\n");
    this.exchange.buffers.add("outputs", event.data.length);
  }

  /** Has the runner wait while its caller takes too little, or go on. */
  #holdRunner(waits: boolean): void {
    const { buffers } = this.exchange;
    if (buffers.holdsRunner === waits) return;
    buffers.holdsRunner = waits;
    this.parts.buffers.noteRunnerWaiting(waits);
    if (waits) this.attempt?.pause();
    else this.attempt?.resume();
  }

  #start(head: HttpAnswerHead | undefined): void {
    if (this.#startedHead || !head) return;
    this.#startedHead = head;
    this.record.firstByteMs = this.elapsedMs;
    const { calls } = this.parts.context.platform;
    this.exchange.start(head.status, calls.headersForCaller(head.rawHeaders));
  }

  /** The runner itself answered with a failure. */
  #answerFailure(runner: RunnerEntry, head: HttpAnswerHead | undefined, body: Buffer): void {
    this.attempt = undefined;
    if (this.#startedHead || !head) {
      return this.#onFailed(runner, { type: "broken", detail: `status ${head?.status} in mid-stream` });
    }
    const { calls } = this.parts.context.platform;
    this.exchange.answer(head.status, calls.headersForCaller(head.rawHeaders), body);
    this.finish({ status: head.status, kind: "runner-failed" });
  }

  async #complete(head: HttpAnswerHead | undefined): Promise<void> {
    this.attempt = undefined;
    this.endTry();
    this.#start(head);
    const { rest } = this.#splitter;
    if (rest.length > 0) this.exchange.write(rest);
    if (this.#admitted && this.route.retainsTurns && !(await this.#retain())) return;
    this.exchange.end();
    this.finish({ status: this.#startedHead?.status ?? 0, kind: "answered" });
  }

  /** Has the turn kept before its answer ends. */
  async #retain(): Promise<boolean> {
    const atMs = this.elapsedMs;
    this.record.retention = { heldBy: "nobody", atMs };
    const content = {
      previousTurn: this.call.program?.previousTurn,
      tenant: this.tenant?.name,
      input: this.exchange.body,
      output: Buffer.from(this.#output.join(""), ENCODING),
      ...(this.#budget ? { tokens: this.#tokens } : {}),
    };
    const { requestId } = this.call;
    const isStored = await this.#partitions.storeTurn(requestId, content, Math.max(0, this.leftMs));
    // The caller has gone, or its time is over: the owner was told then.
    if (this.over) return false;
    this.#noteRetention(isStored ? "store" : "nobody", atMs);
    if (!isStored) {
      this.fail(0, "unavailable", "The turn could not be kept: the store does not take it.");
      return false;
    }
    this.#admitted = false;
    await this.#partitions.endRetained({ ...this.#endRequest(), retained: content });
    return true;
  }

  /** Tokens that the caller was handed. */
  get #tokens(): number {
    return this.#events * (this.pool.engine?.tokensPerEvent ?? 1);
  }

  #endRequest(): EndTurnRequest {
    const { program, requestId } = this.call;
    const name = program?.id ?? ("" as ProgramId);
    return {
      partition: this.#partitions.partitionOf(name),
      program: name,
      session: program?.session,
      turn: requestId,
      budget: this.#budget,
      tokens: this.#tokens,
      runner: this.#lastRunner,
      retained: undefined,
    };
  }

  #onFailed(runner: RunnerEntry, failure: AttemptFailure): void {
    this.attempt = undefined;
    this.#holdRunner(false);
    this.noteFailure(runner, failure);
    if (failure.type === "broken") {
      this.#lastRunner = runner.id;
      if (!this.route.resumable) return this.failUnknown(`the stream broke: ${failure.detail}`);
    }
    this.next();
  }

  #giveUp(detail: string): void {
    if (this.mayHaveRun.size > 0) this.failUnknown(detail);
    else this.refuse("overloaded", detail);
  }
}
