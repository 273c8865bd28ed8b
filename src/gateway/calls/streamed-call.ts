/**
 * A call whose answer is a stream of events: a turn of a program, or a stream outside of programs. Events are forwarded as
 * they arrive, and only as a whole, so that a broken stream can be resumed at the event after the last one. The stream is
 * complete when its framing says so. An end of the connection between two events is checked by a run that is asked for what
 * follows.
 */

import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import { mayStartProgram } from "../../scheduling/admission/program-admission.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import { type StreamKey, streamKeyOf } from "../../scheduling/stream-versions/index.ts";
import { turnUrgency } from "../../scheduling/urgency/turn-urgency.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { AdmitTurnResponse, EndTurnRequest } from "../gateway-messages.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";
import { loggedIdentifier } from "../telemetry/logged-identifier.ts";
import type { RetentionRecord } from "../telemetry/retention-record.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { DoubtedEnd } from "./doubted-end.ts";
import type { StreamEvent } from "./event-splitter.ts";
import { OWNER_RETRY_AFTER_MS } from "./owner-retry.ts";
import { ProgramTurn } from "./program-turn.ts";
import type { ResumedStream } from "./resumed-stream.ts";
import { RoutedCall, type RoutedRequest } from "./routed-call.ts";
import type { AttemptFailure, AttemptListener, AttemptParts } from "./runner-attempt.ts";
import { StreamReader } from "./stream-reader.ts";

/**
 * Maximum wait for a place, in ms. Callers give up a stream that stays silent for much longer, and their retry would be
 * queued behind all others.
 */
const MAX_PLACE_WAIT_MS = 1_500;
/** How long a stream waits before it asks its runner again, which had no room to go on with it, in ms. */
const FULL_RUNNER_RETRY_MS = 100;
const PAYMENT_REQUIRED = 402;
const NOT_FOUND = 404;
const NO_BODY = Buffer.alloc(0);
/** Maps each byte to one character and back, so that inputs and outputs are retained byte for byte. */
const ENCODING = "latin1";

export class StreamedCall extends RoutedCall {
  readonly #partitions: PartitionClient;
  readonly #turn: ProgramTurn;
  /** Reads the answer of the current attempt. */
  #reader = new StreamReader();
  readonly #output: string[] = [];
  #history: readonly Uint8Array[] = [];
  #preferred: RunnerId | undefined;
  #admitted = false;
  #sentHead: HttpAnswerHead | undefined;
  #eventCount = 0;
  #lastEventId: number | undefined;
  #lastRunner: RunnerId | undefined;
  /** Version of the last runner by the entry with which the attempt was made. */
  #lastRunnerVersion: SoftwareVersion | undefined;
  readonly #resumed: ResumedStream | undefined;
  /** The version that made the events which the caller has; undefined if there are none, or if it is not known. */
  #version: SoftwareVersion | undefined;
  /** Set once an event was forwarded whose version others may need. */
  #key: StreamKey | undefined;
  #isComplete = false;
  /** Set while no other run has shown whether an answer was whole that ended with its connection. */
  #doubtedEnd: DoubtedEnd | undefined;
  /** The last event before one that a runner had begun: the stream does not end there. */
  #unfinishedAfter: number | undefined;

  constructor(parts: AttemptParts, partitions: PartitionClient, request: RoutedRequest) {
    super(parts, request);
    this.#partitions = partitions;
    this.#turn = new ProgramTurn(this.call, this.route, this.tenant, partitions);
    this.#lastEventId = this.call.lastEventId;
    this.#resumed = request.resumed;
    this.#version = request.resumed?.version;
  }

  protected override begin(): void {
    this.exchange.onDrain(() => this.#setRunnerPaused(false));
    // The whole answer must be retained, but the part that an earlier attempt sent to the caller is not known here.
    if (this.route.retainsTurns && this.#lastEventId !== undefined) {
      return this.refuse("cannot-resume", "Send the turn again from its start.");
    }
    if (this.#turn.requiresAdmission) void this.#admit();
    else this.tryNext();
  }

  protected override tryNext(): void {
    const resumed = this.#runnerToResume();
    if (resumed) return this.#sendTo(resumed);
    if (this.#runnersLeft <= 0) {
      if (this.#isRunnerOnlyFull()) return this.#askRunnersAgain();
      return this.#giveUp("no runner can take the turn");
    }
    if (this.#eventCount > 0 && this.#version === undefined)
      return this.#giveUp("the software version of the stream is not known");
    this.findRunner(this.#preferred, (runner) => {
      if (runner) this.#sendTo(runner);
      else if (this.#version === undefined) this.#giveUp("no runner can take the turn");
      else this.#giveUp(`no runner of the stream's software version ${this.#version} can take it`);
    });
  }

  protected override get requiredVersion(): SoftwareVersion | undefined {
    return this.#version;
  }

  #sendTo(runner: RunnerEntry): void {
    // A stream that has begun is resumed in any case: the events that still arrive are of use to the caller.
    if (this.#eventCount === 0 && !this.hasTimeFor(runner))
      return this.#giveUp("no time is left for another runner");
    this.sendOnceAdmitted(runner, () => {
      this.#reader = new StreamReader();
      const isStarted = this.startAttempt(runner, this.#body(), this.#lastEventId, this.#listenerFor(runner));
      if (!isStarted) this.#giveUp("too many runners refused the turn");
    });
  }

  protected override mayRetryElsewhere(runner: RunnerEntry): boolean {
    const ran = new Set([...this.mayHaveRun, runner.id]);
    return this.route.resumable && ran.size < this.route.maxAttempts;
  }

  protected override get maxPlaceWaitMs(): number {
    return Math.min(MAX_PLACE_WAIT_MS, this.leftMs);
  }

  protected override get urgency(): Urgency | undefined {
    const deadlineMs = this.call.program?.deadlineMs;
    if (deadlineMs === undefined) return undefined;
    return turnUrgency({
      timeLeftMs: deadlineMs - this.elapsedMs,
      targetLatencyMs: this.route.targetLatencyMs,
    });
  }

  protected override onFinished(): void {
    this.#setRunnerPaused(false);
    if (this.#key !== undefined) this.parts.streams.recordEnd(this.#key, this.#isComplete);
    if (this.#admitted) void this.#partitions.end(this.#endRequest());
  }

  async #admit(): Promise<void> {
    const { clock, settings } = this.parts.context;
    const request = this.#turn.admitRequest();
    const admissionDeadlineAtMs = Math.min(
      this.deadlineAtMs,
      clock.monotonicMs() + settings.timing.ownerWaitMs,
    );
    const askedMs = this.elapsedMs;
    const answer = await this.#partitions.admit(request, admissionDeadlineAtMs, () => this.isOver);
    this.#recordAdmission(request.partition, answer, this.elapsedMs - askedMs);
    this.#admitted = answer.type !== "exhausted";
    if (!this.isOver) this.#onAdmission(answer);
    else if (this.#admitted) this.onFinished();
  }

  /** Unknown for programs whose turns no owner admits: none of their turns is treated as the first. */
  protected override get hasBegun(): boolean {
    return !this.#turn.requiresAdmission || this.#preferred !== undefined;
  }

  /** Whether the turn's program has begun, or the runners have capacity for another program. */
  protected override mayBegin(): boolean {
    if (this.hasBegun) return true;
    const { board, context } = this.parts;
    const occupancy = board.occupancy(this.pool.name);
    const { admission } = this.record;
    if (admission) this.record.admission = { ...admission, occupancy: roundedShare(occupancy) };
    return mayStartProgram({ occupancy, rank: this.rank, sample: context.random.unit() });
  }

  #recordAdmission(partition: number, answer: AdmitTurnResponse, elapsedMs: number): void {
    const spent = answer.type === "exhausted" ? { spentTokens: answer.spent } : {};
    const owner = this.#partitions.ownerOf(partition);
    const previousTurn = this.call.program?.previousTurn;
    const previous = previousTurn === undefined ? {} : { previousTurn: loggedIdentifier(previousTurn) };
    this.record.admission = { partition, owner, answer: answer.type, ...previous, ...spent, elapsedMs };
    this.parts.context.metrics.recordAdmission(answer.type, elapsedMs);
  }

  #recordRetention(heldBy: RetentionRecord["heldBy"], atMs: number): void {
    const elapsedMs = this.elapsedMs - atMs;
    this.record.retention = { heldBy, atMs, elapsedMs };
    this.parts.context.metrics.recordRetention(heldBy, elapsedMs);
  }

  #onAdmission(answer: AdmitTurnResponse): void {
    switch (answer.type) {
      case "granted":
        this.#setHistory(answer.history);
        this.#preferred = answer.runner;
        return this.tryNext();
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

  /** Sets the history of the turn. It is held in memory twice: as it was received, and joined with the caller's input. */
  #setHistory(history: readonly Uint8Array[]): void {
    this.#history = history;
    const bytes = history.reduce((sum, { length }) => sum + length, 0);
    this.exchange.buffers.add("bodies", 2 * bytes);
  }

  /**
   * The runner at which a broken stream is resumed: the one that ran it, as long as that runner is available. Any other
   * would be one more runner that runs the turn.
   */
  #runnerToResume(): RunnerEntry | undefined {
    const last = this.#lastRunner;
    if (last === undefined || this.excluded.has(last) || this.faulty.has(last)) return undefined;
    const runner = this.mayHaveRun.has(last) ? this.parts.board.ready(last) : undefined;
    const isSameStart = runner?.version === this.#lastRunnerVersion;
    const fits = this.#version === undefined || runner?.version === this.#version;
    return isSameStart && fits ? runner : undefined;
  }

  /** How many more runners may run the turn; earlier ones that are gone do not count. */
  get #runnersLeft(): number {
    const { board } = this.parts;
    const present = [...this.mayHaveRun].filter((id) => board.isListed(id) && !this.gone.has(id));
    return this.route.maxAttempts - present.length;
  }

  /** Whether the runner of a broken stream still accepts requests, and only had no room to go on with the stream. */
  #isRunnerOnlyFull(): boolean {
    const last = this.#lastRunner;
    if (last === undefined || this.#doubtedEnd !== undefined) return false;
    if (!this.excluded.has(last) || this.gone.has(last) || this.faulty.has(last)) return false;
    return this.parts.board.ready(last) !== undefined;
  }

  /** Tries again a little later, also at runners that had no room. */
  #askRunnersAgain(): void {
    this.parts.context.clock.schedule(FULL_RUNNER_RETRY_MS, () => {
      if (this.isOver) return;
      for (const id of this.excluded) if (!this.gone.has(id)) this.excluded.delete(id);
      this.tryNext();
    });
  }

  #body(): Buffer {
    const { body } = this.exchange;
    return this.#history.length === 0 ? body : Buffer.concat([...this.#history, body]);
  }

  #listenerFor(runner: RunnerEntry): AttemptListener {
    const reader = this.#reader;
    return {
      onHead: (answer) => {
        reader.head = answer;
        this.recordHead(answer);
        this.#setLastRunner(runner);
      },
      onData: (chunk) => {
        for (const event of reader.push(chunk)) this.#forward(event, reader.head, runner);
        this.exchange.buffers.set("collected", reader.heldBytes);
        const excess = reader.exceededLimit;
        if (excess !== undefined) return this.attempt?.failAsExcessive(`the answer has ${excess}`);
        if (this.exchange.isFull) this.#setRunnerPaused(true);
      },
      findDefect: () => (reader.hasFailed ? undefined : this.#findDefect(reader.head)),
      onEnd: () => {
        const { head } = reader;
        this.#recordStreamEnd();
        if (reader.hasFailed) this.#forwardFailure(runner, head, reader.failureBody);
        else if (head && this.#needsSecondRun(head)) this.#askWhatFollows(runner, head);
        else void this.#complete(head);
      },
      onFailed: (failure) => {
        this.#recordStreamEnd();
        this.#onFailed(runner, failure);
      },
    };
  }

  /** Records where the answer of the current attempt has ended. */
  #recordStreamEnd(): void {
    const last = this.record.tries.at(-1);
    const { unfinishedBytes } = this.#reader;
    if (unfinishedBytes > 0) this.#unfinishedAfter = this.#lastEventId;
    if (!last) return;
    if (this.#lastEventId !== undefined) last.lastEvent = this.#lastEventId;
    if (unfinishedBytes > 0) last.unfinishedBytes = unfinishedBytes;
  }

  #findDefect(head: HttpAnswerHead | undefined): string | undefined {
    if (this.#reader.unfinishedBytes > 0) return "the answer ended inside an event";
    if (head?.framing !== "connection") return undefined;
    const last = this.#lastEventId;
    if (this.#eventCount === 0 && last === undefined) return "the connection ended before the first event";
    const isKnownToGoOn = last !== undefined && last === this.#unfinishedAfter;
    return isKnownToGoOn ? "the connection ended before an event that had begun" : undefined;
  }

  /**
   * Whether a stream that has ended between two events has to be checked by another run. A runner that breaks off there
   * looks like one that is done, unless a second run ends in the same place.
   */
  #needsSecondRun({ framing }: HttpAnswerHead): boolean {
    const canAsk = this.route.resumable && this.#lastEventId !== undefined;
    return framing === "connection" && canAsk && this.#doubtedEnd === undefined;
  }

  /** Asks a runner, the same one if possible, for the events behind the last one. */
  #askWhatFollows(runner: RunnerEntry, head: HttpAnswerHead): void {
    this.#doubtedEnd = new DoubtedEnd(head, this.elapsedMs);
    this.#setRunnerPaused(false);
    this.doubtEnd(runner);
    void this.whenChecked(() => this.tryNext());
  }

  #forward(event: StreamEvent, head: HttpAnswerHead | undefined, runner: RunnerEntry): void {
    const last = this.#lastEventId;
    if (event.id !== undefined && last !== undefined && event.id <= last) return;
    if (this.#eventCount === 0) this.#recordBegin(runner);
    this.#doubtedEnd = undefined;
    this.#sendHead(head);
    this.exchange.write(event.bytes);
    this.#eventCount += 1;
    if (event.id !== undefined) this.#lastEventId = event.id;
    if (!this.route.retainsTurns) return;
    this.#output.push(event.data, "\n");
    this.exchange.buffers.add("outputs", event.data.length);
  }

  /** Records where the stream began, before its caller gets the first event of this call. */
  #recordBegin(runner: RunnerEntry): void {
    const { streams, versions } = this.parts;
    const { name, pool, version } = runner;
    if (!this.#resumed) this.#version = versions.isSure(runner) ? version : undefined;
    if (!this.route.resumable || this.#version === undefined) return;
    const key = this.#resumed ? this.#resumed.key : streamKeyOf(this.tenant?.name, this.call.requestId);
    if (key === undefined) return;
    this.#key = key;
    streams.recordBegin(key, this.#resumed?.origin ?? { pool, version, runner: name });
  }

  /** Pauses the runner's answer while the caller reads too little of it, or resumes it. */
  #setRunnerPaused(isPaused: boolean): void {
    const { buffers } = this.exchange;
    if (buffers.holdsRunner === isPaused) return;
    buffers.holdsRunner = isPaused;
    this.parts.buffers.noteRunnerWaiting(isPaused);
    if (isPaused) this.attempt?.pause();
    else this.attempt?.resume();
  }

  #sendHead(head: HttpAnswerHead | undefined): void {
    if (this.#sentHead || !head) return;
    this.#sentHead = head;
    this.record.firstByteMs = this.elapsedMs;
    const { calls } = this.parts.context.platform;
    this.exchange.start(head.status, calls.headersForCaller(head.rawHeaders));
  }

  /** Forwards a failure that the runner answered; within a stream that has begun, it counts as a broken stream. */
  #forwardFailure(runner: RunnerEntry, head: HttpAnswerHead | undefined, body: Buffer): void {
    this.attempt = undefined;
    if (this.#sentHead || !head) {
      return this.#onFailed(runner, {
        type: "broken",
        detail: `status ${head?.status} in mid-stream`,
        exceedsLimit: false,
      });
    }
    this.forwardAnswer(head, body);
    this.finish({ status: head.status, kind: "runner-failed" });
  }

  async #complete(head: HttpAnswerHead | undefined): Promise<void> {
    this.attempt = undefined;
    this.endAttempt();
    if (head?.framing === "none" && !this.#sentHead) this.forwardAnswer(head, NO_BODY);
    else this.#sendHead(head);
    if (this.#admitted && this.route.retainsTurns && !(await this.#retain())) return;
    this.exchange.end();
    this.#isComplete = true;
    this.finish({ status: (this.#sentHead ?? head)?.status ?? 0, kind: "answered" });
  }

  /** Has the turn stored before its answer ends; returns false if the call has ended without that. */
  async #retain(): Promise<boolean> {
    const atMs = this.elapsedMs;
    this.record.retention = { heldBy: "nobody", atMs };
    const output = Buffer.from(this.#output.join(""), ENCODING);
    const content = this.#turn.content(this.exchange.body, output, this.#tokens);
    const { requestId } = this.call;
    const isStored = await this.#partitions.storeTurn(requestId, content, Math.max(0, this.leftMs));
    // The caller has disconnected, or the deadline has passed: the owner was told then.
    if (this.isOver) return false;
    this.#recordRetention(isStored ? "store" : "nobody", atMs);
    if (!isStored) {
      this.fail(0, "unavailable", "The turn could not be kept: the store does not take it.");
      return false;
    }
    this.#admitted = false;
    await this.#partitions.endRetained({ ...this.#endRequest(), retained: content });
    return true;
  }

  /** Tokens that were sent to the caller. */
  get #tokens(): number {
    return this.#eventCount * (this.pool.engine?.tokensPerEvent ?? 1);
  }

  #endRequest(): EndTurnRequest {
    return this.#turn.endRequest(this.#tokens, this.#lastRunner);
  }

  #onFailed(runner: RunnerEntry, failure: AttemptFailure): void {
    this.attempt = undefined;
    this.exchange.buffers.set("collected", 0);
    this.#setRunnerPaused(false);
    this.recordFailure(runner, failure);
    if (failure.type !== "notRun") this.#doubtedEnd = undefined;
    if (failure.type === "broken") {
      this.#setLastRunner(runner);
      if (this.#eventCount > 0 && this.parts.versions.isReplaced(runner)) this.#version = undefined;
      const detail = `the stream broke: ${failure.detail}`;
      return void this.whenChecked(() => {
        if (this.route.resumable) this.tryNext();
        else this.failWithUnknownOutcome(detail);
      });
    }
    this.tryNext();
  }

  #setLastRunner({ id, version }: RunnerEntry): void {
    this.#lastRunner = id;
    this.#lastRunnerVersion = version;
  }

  #giveUp(detail: string): void {
    if (this.#doubtedEnd?.mayWait(this.elapsedMs)) this.#askRunnersAgain();
    // Nobody has vouched for the end. A caller whose connection breaks takes the stream up; one that gets its end does not.
    else if (this.#doubtedEnd) this.failWithUnknownOutcome(`the stream may have been broken off: ${detail}`);
    else if (this.mayHaveRun.size > 0) this.failWithUnknownOutcome(detail);
    else this.refuse(this.#resumed ? "cannot-resume" : "overloaded", detail);
  }
}
