/**
 * The common part of buffered and streamed calls: their deadline, the choice of runners, the attempts made at them, and the
 * ways in which a call ends early.
 */

import type { CallContext } from "../../ports/call-protocol.ts";
import type { HttpAnswerHead } from "../../ports/http/http-exchange.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import { canFinishInTime } from "../../scheduling/admission/can-finish-in-time.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import type { PlaceCall } from "../../scheduling/place-queue/index.ts";
import type { Route, RunnerPool } from "../../scheduling/routing/routing-configuration.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import type { RunnerCriteria } from "../../scheduling/runner-balancing/runner-criteria.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { Urgency } from "../../scheduling/urgency/urgency.ts";
import type { CallerExchange } from "../ingress/caller-exchange.ts";
import { STOPPING } from "../ingress/stopping.ts";
import type { HeldPlace } from "../places/held-place.ts";
import type { PendingPlaceRequest } from "../places/pending-place-request.ts";
import type { PlaceVerdict } from "../places/place-verdict.ts";
import { GuardedRuns } from "../poison-requests/guarded-runs.ts";
import type { AttemptRecord } from "../telemetry/attempt-record.ts";
import type { CallEnd } from "../telemetry/call-end.ts";
import { CallRecord } from "../telemetry/call-record.ts";
import type { RateRecord } from "../telemetry/rate-record.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { callTimeoutMs } from "./call-timeout.ts";
import type { ResumedStream } from "./resumed-stream.ts";
import { resumedStreamRecordOf } from "./resumed-stream-record-of.ts";
import type { AttemptFailure, AttemptListener, AttemptParts } from "./runner-attempt.ts";
import { RunnerAttempt } from "./runner-attempt.ts";
import { SilenceWatch } from "./silence-watch.ts";

/** A caller's request, together with what was decided about it before the call starts. */
export interface RoutedRequest {
  readonly exchange: CallerExchange;
  readonly call: CallContext;
  readonly route: Route;
  readonly pool: RunnerPool;
  /** The tenant of the call; undefined if the route needs no key. */
  readonly tenant: Tenant | undefined;
  /** Priority among all calls; 0 is the highest. */
  readonly rank: number;
  /** Whether the caller's key must be hidden from runners. */
  readonly hidesKey: boolean;
  /** The answer of the owner of the tenant's limit; undefined if the tenant has no limit. */
  readonly rate: RateRecord | undefined;
  /** Version of the configuration that contains the route. */
  readonly configurationVersion: number;
  /** Where the stream began that the caller takes up; undefined for a new stream and for other calls. */
  readonly resumed: ResumedStream | undefined;
}

/** Whether a runner may be chosen for a call. */
type RunnerFilter = (runner: RunnerEntry) => boolean;

const MISDIRECTED_REQUEST = 421;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
/** Maximum length of the detail in a log line, in characters. */
const MAX_DETAIL_LENGTH = 200;
const GATEWAY_TIMEOUT = 504;
/** Retry delay for callers whose request was not run, in ms; a random time of up to the same length is added. */
const RETRY_AFTER_MS = 100;
/**
 * Retry delay for programs that were refused because the runners are full, in ms; a random time of up to the same length is
 * added. It is about the duration of a turn: by then some programs have ended, and the decision is made again.
 */
const PROGRAM_RETRY_AFTER_MS = 250;
/** A runner that is silent for this multiple of the route's target latency is faulty or overloaded. */
const SILENCE_TIMEOUT_FACTOR = 3;
const MIN_SILENCE_TIMEOUT_MS = 400;
/**
 * Shortest wait before a run is asked for again that may not begin now, in ms; a random time of up to the same length is
 * added.
 */
const ADMISSION_RETRY_MS = 30;
/** Maximum number of attempts within one call, whatever their outcome. */
const MAX_TOTAL_ATTEMPTS = 12;

export abstract class RoutedCall {
  protected readonly parts: AttemptParts;
  protected readonly exchange: CallerExchange;
  protected readonly call: CallContext;
  protected readonly route: Route;
  protected readonly pool: RunnerPool;
  protected readonly tenant: Tenant | undefined;
  protected readonly rank: number;
  /** When the timeout of the route or the caller expires, by the monotonic clock. */
  protected readonly deadlineAtMs: number;
  /** Runners that refused the call, or could not be reached. */
  protected readonly excluded = new Set<RunnerId>();
  /** Runners that can't run the call any more, because they have ended or can't be reached. */
  protected readonly gone = new Set<RunnerId>();
  /** Runners that were silent for too long, or whose answer exceeded a limit; a call that may run twice is sent to others. */
  protected readonly faulty = new Set<RunnerId>();
  /** Runners that may have run the call. */
  protected readonly mayHaveRun = new Set<RunnerId>();
  protected attempt: RunnerAttempt | undefined;
  /** The content of the log line that is written when the call is over. */
  protected readonly record: CallRecord;
  readonly #hidesKey: boolean;
  /** The inputs by which the current runner was chosen; undefined if a dispatcher chose it. */
  #choice: RunnerCriteria | undefined;
  /** The runner that holds most of the prompt, if one is known. */
  #promptHolder: RunnerId | undefined;
  #attemptCount = 0;
  #placeRequest: PendingPlaceRequest | undefined;
  /** The place of the current attempt; undefined if no dispatcher granted one. */
  #place: HeldPlace | undefined;
  #deadlineTimer: TimerHandle | undefined;
  readonly #silence: SilenceWatch;
  #isOver = false;
  readonly #runs: GuardedRuns;
  /** Whether the current attempt runs the call from its start. */
  #isFromStart = false;
  /** Resolves once it is known whether the last runner that broke off its answer has ended. */
  #breakCheck: Promise<void> = Promise.resolve();

  constructor(parts: AttemptParts, request: RoutedRequest) {
    this.parts = parts;
    this.exchange = request.exchange;
    this.call = request.call;
    this.route = request.route;
    this.pool = request.pool;
    this.tenant = request.tenant;
    this.rank = request.rank;
    this.#hidesKey = request.hidesKey;
    const { requestId, program } = this.call;
    this.exchange.buffers.request = requestId;
    this.record = new CallRecord(requestId, program?.id, this.route.name, request.configurationVersion);
    this.record.tenant = request.tenant?.name;
    this.record.rate = request.rate;
    this.record.resumed = resumedStreamRecordOf(this.call, request.resumed);
    const guarded = {
      pool: this.pool.name,
      request: requestId,
      content: () => ({
        method: this.exchange.method,
        target: this.exchange.target,
        body: this.exchange.body,
        call: this.call,
        tenant: this.tenant?.name,
      }),
    };
    this.#runs = new GuardedRuns(parts.guard, guarded, () => parts.context.clock.monotonicMs());
    const { clock } = parts.context;
    this.#silence = new SilenceWatch(clock, parts.board, (attempt) => this.#onSilent(attempt));
    this.deadlineAtMs = this.exchange.arrivedAtMs + callTimeoutMs(this.call, this.route);
  }

  /** Starts the call, which ends by itself when it is answered, fails or times out. */
  run(): void {
    // The request was refused when this process came to its end.
    if (this.exchange.ended) return;
    this.#deadlineTimer = this.parts.context.clock.schedule(Math.max(0, this.leftMs), () =>
      this.#onDeadline(),
    );
    this.exchange.onGone(() => this.#onGone());
    this.exchange.onBreakOff(() => this.#onBreakOff());
    if (this.#isOver) return;
    if (this.#runs.isPoison) this.#failAsPoison();
    else this.begin();
  }

  protected abstract begin(): void;
  /** Starts the next attempt, or ends the call. */
  protected abstract tryNext(): void;
  /** Called once when the call is over, however it ended. */
  protected onFinished(): void {}

  /** Whether a call that was sent to a runner may be retried at another one, although the first may have run it. */
  protected abstract mayRetryElsewhere(runner: RunnerEntry): boolean;

  /** The urgency among the calls that wait at a runner; undefined if unknown. */
  protected get urgency(): Urgency | undefined {
    return undefined;
  }

  protected get isOver(): boolean {
    return this.#isOver;
  }

  protected get leftMs(): number {
    return this.deadlineAtMs - this.parts.context.clock.monotonicMs();
  }

  /** Maximum wait for a place, in ms: the caller of a buffered call waits until the call's deadline. */
  protected get maxPlaceWaitMs(): number {
    return this.leftMs;
  }

  /** Whether the call belongs to a program that has begun. */
  protected get hasBegun(): boolean {
    return this.call.program !== undefined;
  }

  /** Tokens that the call occupies in a runner's memory. */
  protected get tokens(): number {
    const { promptTokens = 0, maxGeneratedTokens = 0 } = this.call;
    return this.pool.engine === undefined ? 0 : promptTokens + maxGeneratedTokens;
  }

  /** The software version at which the call must run: that of the events which its caller has; undefined if any may. */
  protected get requiredVersion(): SoftwareVersion | undefined {
    return undefined;
  }

  /** Whether a call that no dispatcher decides on may be sent; called before its first attempt. */
  protected mayBegin(): boolean {
    return true;
  }

  /**
   * Finds the runner for an attempt. While places are scarce, the call requests one from a dispatcher, unless it may have
   * run already, in this try or in an earlier one: such a call must not wait behind others, nor be refused as not run. Nor
   * does a stream that has begun: it can go on at few runners only, which dispatchers of earlier builds can't tell from the
   * others.
   */
  protected findRunner(
    preferred: RunnerId | undefined,
    send: (runner: RunnerEntry | undefined) => void,
  ): void {
    this.#promptHolder = preferred;
    const { places } = this.parts;
    const hasStarted = this.mayHaveRun.size > 0 || this.requiredVersion !== undefined;
    if (hasStarted || this.#runs.isSuspect || !places.requiresPlace(this.pool))
      return this.#chooseLocally(preferred, send);
    const atMs = this.elapsedMs;
    const placeRequest = places.requestPlace({
      pool: this.pool,
      describe: () => this.#describe(preferred),
      onVerdict: (verdict, record) => {
        this.#placeRequest = undefined;
        this.record.places.push({ ...record, atMs });
        this.#onPlaceVerdict(verdict, preferred, send);
      },
    });
    if (!placeRequest.isOver) this.#placeRequest = placeRequest;
  }

  #chooseLocally(preferred: RunnerId | undefined, send: (runner: RunnerEntry | undefined) => void): void {
    if (this.#attemptCount === 0 && this.requiredVersion === undefined && !this.mayBegin()) {
      const detail = "the runners have no place for more programs";
      return this.refuse("overloaded", detail, PROGRAM_RETRY_AFTER_MS);
    }
    send(this.chooseRunner(preferred));
  }

  #onPlaceVerdict(
    verdict: PlaceVerdict,
    preferred: RunnerId | undefined,
    send: (runner: RunnerEntry | undefined) => void,
  ): void {
    switch (verdict.type) {
      case "granted":
        this.#place = verdict.place;
        this.#choice = undefined;
        return send(verdict.runner);
      case "refused":
        return this.#refuseAfter("overloaded", `no place in time: ${verdict.reason}`, verdict.retryAfterMs);
      case "alone":
        return this.#chooseLocally(preferred, send);
    }
  }

  #describe(preferred: RunnerId | undefined): PlaceCall {
    const { call, leftMs, elapsedMs } = this;
    const programMs = call.program?.deadlineMs;
    return {
      request: call.requestId,
      route: this.route.name,
      tenant: this.tenant?.name,
      program: call.program?.id,
      rank: this.rank,
      hasBegun: this.hasBegun,
      dueInMs: programMs === undefined ? leftMs : programMs - elapsedMs,
      patienceMs: Math.max(0, this.maxPlaceWaitMs),
      leftMs: Math.max(0, leftMs),
      tokens: this.tokens,
      preferred,
      excluded: [...this.excluded, ...this.faulty],
    };
  }

  protected chooseRunner(preferred: RunnerId | undefined): RunnerEntry | undefined {
    const { board, context } = this.parts;
    const choice = {
      pool: this.pool.name,
      zone: context.settings.zone,
      excluded: this.faulty.size === 0 ? this.excluded : new Set([...this.excluded, ...this.faulty]),
      preferred,
      promptTokens: this.call.promptTokens,
      nowMs: context.clock.monotonicMs(),
      sample: context.random.unit(),
    };
    this.#choice = choice;
    const filters = this.#runnerFilters;
    const apart = filters.map((mayTake) => (runner: RunnerEntry) => {
      return !this.#runs.shouldAvoid(runner.id) && mayTake(runner);
    });
    for (const mayTake of this.#runs.hasRunnersToAvoid ? [...apart, ...filters] : filters) {
      const chosen = board.choose({ ...choice, mayTake });
      if (chosen) return chosen;
    }
    return undefined;
  }

  /** The runners that may be chosen, the ones to be preferred first. */
  get #runnerFilters(): RunnerFilter[] {
    const { connections, versions } = this.parts;
    const { requiredVersion } = this;
    const { name } = this.pool;
    const withinShare = connections.withinShareFilter(name);
    const beyondShare = connections.beyondShareFilter(name);
    if (requiredVersion === undefined) return [withinShare, beyondShare];
    const fits: RunnerFilter = (runner) => runner.version === requiredVersion && versions.isSure(runner);
    return [
      // The end of a runner that starts again with another version shows at its open connections first.
      (runner) => fits(runner) && withinShare(runner) && connections.isConnected(runner.id),
      (runner) => fits(runner) && withinShare(runner),
      (runner) => fits(runner) && beyondShare(runner),
    ];
  }

  /**
   * Whether another attempt at a runner can still end in the call's time. Always true for the first attempt, and for a
   * runner that a dispatcher chose.
   */
  protected hasTimeFor(runner: RunnerEntry): boolean {
    if (this.#attemptCount === 0 || !this.#choice) return true;
    return canFinishInTime(this.leftMs, this.parts.board.expectedMs(runner.id, this.#choice));
  }

  /** Sends the call to a runner; returns false if it has had too many attempts. */
  protected startAttempt(
    runner: RunnerEntry,
    body: Buffer,
    lastEventId: number | undefined,
    listener: AttemptListener,
  ): boolean {
    this.#attemptCount += 1;
    if (this.#attemptCount > MAX_TOTAL_ATTEMPTS) {
      this.#releasePlace(false);
      return false;
    }
    const { exchange, call, leftMs } = this;
    const silenceTimeoutMs = Math.max(
      MIN_SILENCE_TIMEOUT_MS,
      this.route.targetLatencyMs * SILENCE_TIMEOUT_FACTOR,
    );
    const streaming = this.route.kind === "streaming";
    const request = {
      exchange,
      call,
      body,
      deadlineMs: leftMs,
      lastEventId,
      streaming,
      silenceTimeoutMs,
      isLeased: this.#place !== undefined,
      urgency: this.urgency,
      tenant: this.tenant?.name,
      hidesKey: this.#hidesKey,
      work: this.route.name,
      isCached: this.#promptHolder === runner.id,
    };
    this.#recordAttempt(runner);
    this.#isFromStart = lastEventId === undefined;
    this.attempt = new RunnerAttempt(this.parts, runner, request, listener);
    if (this.mayRetryElsewhere(runner)) this.#silence.start(this.attempt, silenceTimeoutMs);
    return true;
  }

  /** Records how the end of the current attempt's answer will be told. */
  protected recordHead({ framing }: HttpAnswerHead): void {
    const last = this.record.tries.at(-1);
    if (last) last.framing = framing;
  }

  /** Ends the current attempt, whose answer ended with its connection: another run has to show whether it was whole. */
  protected doubtEnd(runner: RunnerEntry): void {
    this.attempt = undefined;
    this.mayHaveRun.add(runner.id);
    const last = this.record.tries.at(-1);
    if (last) last.endDoubted = true;
    this.#breakCheck = this.#checkRunner(runner, last);
    this.endAttempt();
  }

  /** Records that an attempt got no answer. */
  protected recordFailure(runner: RunnerEntry, failure: AttemptFailure): void {
    if (failure.type === "broken") this.mayHaveRun.add(runner.id);
    else this.excluded.add(runner.id);
    if (isGone(failure)) this.gone.add(runner.id);
    const last = this.record.tries.at(-1);
    if (failure.type === "broken") this.#breakCheck = this.#checkRunner(runner, last);
    else this.#runs.end();
    if (failure.type === "broken" && failure.exceedsLimit) this.faulty.add(runner.id);
    if (last) last.failure = failure.type === "notRun" ? `not run, status ${failure.status}` : failure.detail;
    this.#releasePlace(failure.type !== "broken");
    this.endAttempt();
  }

  /** Finds out and records whether a runner that has broken off its answer has ended. */
  async #checkRunner(runner: RunnerEntry, attempt: AttemptRecord | undefined): Promise<void> {
    this.record.fingerprint = this.#runs.fingerprint;
    const condition = await this.#runs.checkBreak(runner);
    if (attempt) attempt.runnerCondition = condition;
    if (condition !== "ended") return;
    this.gone.add(runner.id);
    this.excluded.add(runner.id);
    const { fingerprint } = this.#runs;
    this.parts.callLog.logRunnerEnd({ runner: runner.id, request: this.call.requestId, fingerprint });
  }

  /** Continues once it is known whether the runner that has just broken off its answer has ended. */
  protected async whenChecked(next: () => void): Promise<void> {
    await this.#breakCheck;
    if (!this.#isOver) next();
  }

  /**
   * Sends the call to a runner once it may run there: at once, unless runners have ended under its request. If it may not run
   * there now, another attempt is made a little later.
   */
  protected sendOnceAdmitted(runner: RunnerEntry, send: () => void): void {
    if (this.#runs.isSuspect) void this.#admit(runner, send);
    else send();
  }

  async #admit(runner: RunnerEntry, send: () => void): Promise<void> {
    this.record.fingerprint = this.#runs.fingerprint;
    const verdict = await this.#runs.admit(runner, this.leftMs);
    if (this.#isOver) return this.#runs.end();
    if (verdict === "granted") return send();
    if (verdict === "poison") return this.#failAsPoison();
    const { clock, random } = this.parts.context;
    const delayMs = ADMISSION_RETRY_MS * (1 + random.unit());
    clock.schedule(delayMs, () => {
      if (!this.#isOver) this.tryNext();
    });
  }

  /** Ends the call, because too many runners have ended under its request, in this try or in earlier ones. */
  #failAsPoison(): void {
    const detail =
      "Runners have ended while they ran this request. It is not sent to others; do not send it again.";
    this.fail(BAD_GATEWAY, "poison-request", detail);
  }

  #recordAttempt(runner: RunnerEntry): void {
    const { board, context } = this.parts;
    const load = board.load(runner.id);
    const failureRate = roundedShare(board.failureRate(runner.id, context.clock.monotonicMs()));
    const expectedMs = this.#choice && board.expectedMs(runner.id, this.#choice);
    if (expectedMs !== undefined) context.metrics.recordExpectedAttemptTime(expectedMs);
    const expected = expectedMs === undefined ? {} : { expectedMs: Math.round(expectedMs) };
    const { id, version } = runner;
    this.record.tries.push({ runner: id, load, failureRate, version, ...expected, atMs: this.elapsedMs });
  }

  /** Ends the current attempt: the runner no longer works on it. */
  protected endAttempt(): void {
    this.#releasePlace(false);
    const last = this.record.tries.at(-1);
    if (last) last.elapsedMs ??= this.elapsedMs - last.atMs;
  }

  #releasePlace(turnedAway: boolean): void {
    this.#place?.release(turnedAway);
    this.#place = undefined;
  }

  /** Time since the call arrived, in whole ms. */
  protected get elapsedMs(): number {
    return Math.round(this.parts.context.clock.monotonicMs() - this.exchange.arrivedAtMs);
  }

  /** Sends a runner's answer to the caller, and states no more about its end than the runner did. */
  protected forwardAnswer(head: HttpAnswerHead, body: Buffer): void {
    const { status, framing } = head;
    const headers = this.parts.context.platform.calls.headersForCaller(head.rawHeaders);
    if (framing === "none") this.exchange.answerWithoutBody(status, headers);
    else if (framing === "connection") this.exchange.answerUnframed(status, headers, body);
    else this.exchange.answer(status, headers, body);
  }

  /** Ends the call with a refusal: no runner has run it, and none will. */
  protected refuse(kind: string, detail: string, retryAfterMs = RETRY_AFTER_MS): void {
    this.#refuseAfter(kind, detail, retryAfterMs * (1 + this.parts.context.random.unit()));
  }

  /** Refuses the call, unless an earlier try of its request was run by a runner that ended under it. */
  #refuseAfter(kind: string, detail: string, retryAfterMs: number): void {
    if (this.#runs.isSuspect) this.failWithUnknownOutcome(detail);
    else this.fail(UNAVAILABLE, kind, detail, retryAfterMs);
  }

  /** Ends the call with an error: it is unknown whether the call has run. */
  protected failWithUnknownOutcome(detail: string): void {
    this.fail(BAD_GATEWAY, "outcome-unknown", detail);
  }

  /** Ends the call with an error response of the gateway, or by aborting an answer that has begun. */
  protected fail(status: number, kind: string, detail: string, retryAfterMs?: number): void {
    if (this.#isOver) return;
    const { started } = this.exchange;
    if (started) this.exchange.abort();
    else
      this.exchange.refuse({ status, kind, detail, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) });
    this.finish({ status: started ? 0 : status, kind, detail: detail.slice(0, MAX_DETAIL_LENGTH) });
  }

  /** Ends the call: logs and counts it, and releases what it holds. */
  protected finish(end: CallEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.endAttempt();
    if (this.attempt?.inProgress) this.#runs.recordAbandoned(this.attempt.runner);
    if (end.kind === "answered" && this.#isFromStart) this.#runs.endWhole();
    else this.#runs.end();
    if (this.#placeRequest) this.parts.places.cancel(this.#placeRequest);
    const { elapsedMs, record } = this;
    this.parts.callLog.logCall(record, end, elapsedMs);
    this.parts.context.metrics.recordCall(record.route, end, elapsedMs, record.firstByteMs);
    if (this.#deadlineTimer) this.parts.context.clock.cancel(this.#deadlineTimer);
    this.#silence.stop();
    this.attempt?.abort();
    this.onFinished();
    this.exchange.releaseCall();
  }

  /** Sends the call elsewhere whose runner stays silent. */
  #onSilent(attempt: RunnerAttempt): void {
    if (this.#isOver || this.attempt !== attempt) return;
    this.faulty.add(attempt.runner.id);
    attempt.failAsSilent();
  }

  #onDeadline(): void {
    if (this.#mayHaveBeenSent) this.fail(GATEWAY_TIMEOUT, "timeout", "The time of the call is over.");
    else this.refuse("timeout", "The time of the call is over; it was not run.");
  }

  /** Answers the call before the process ends. */
  #onBreakOff(): void {
    if (this.#mayHaveBeenSent) this.failWithUnknownOutcome("this gateway has stopped");
    else this.refuse(STOPPING.kind, STOPPING.detail, STOPPING.retryAfterMs);
  }

  get #mayHaveBeenSent(): boolean {
    return this.attempt !== undefined || this.exchange.started || this.mayHaveRun.size > 0;
  }

  #onGone(): void {
    this.finish({ status: 0, kind: this.exchange.wasCut ? "slow-reader" : "caller-gone" });
  }
}

/** Whether the runner that an attempt was sent to can't be reached, or another one has its address. */
function isGone(failure: AttemptFailure): boolean {
  if (failure.type === "notRun") return failure.status === MISDIRECTED_REQUEST;
  return failure.type === "unreachable";
}
