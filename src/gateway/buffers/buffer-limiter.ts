/**
 * Counts the bytes that a gateway holds for slow callers, and ends the connections of some callers when there are too many
 * bytes. The policy selects the callers. While few bytes are held, no timer runs and no callers are checked.
 */
import type { TimerHandle } from "../../runtime/clock.ts";
import { BufferPolicy } from "../../scheduling/buffers/buffer-policy.ts";
import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { loggedIdentifier } from "../telemetry/logged-identifier.ts";
import type { CallerBuffers } from "./caller-buffers.ts";

/** Time between two checks of the callers, in ms. */
const CHECK_INTERVAL_MS = 250;
/** Maximum time that a check counts as elapsed, in ms: while this process was paused, it could not see callers read. */
const MAX_ELAPSED_MS = 2 * CHECK_INTERVAL_MS;
/**
 * Fraction of the process's memory that may be held. On a small machine, a gateway without callers uses a third of the
 * memory, and used buffers that the runtime has not collected yet take another third.
 */
const MEMORY_FRACTION = 0.15;
const BYTES_PER_MEGABYTE = 1_000_000;

export class BufferLimiter {
  readonly #context: GatewayContext;
  readonly #policy: BufferPolicy;
  readonly #held: Record<BufferReason, number> = {
    answers: 0,
    collected: 0,
    bodies: 0,
    requests: 0,
    outputs: 0,
  };
  readonly #open = new Set<CallerBuffers>();
  #heldBytes = 0;
  #timer: TimerHandle | undefined;
  #checkedAtMs = 0;
  #waitingRunners = 0;
  /** Requests whose bodies are being received. */
  #receivingCount = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    const { mostBytes, memoryMb } = context.settings.buffers;
    this.#policy = new BufferPolicy(mostBytes || memoryMb * BYTES_PER_MEGABYTE * MEMORY_FRACTION);
  }

  /** Bytes held for all callers. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes held for all callers for a given reason. */
  heldFor(reason: BufferReason): number {
    return this.#held[reason];
  }

  /** Whether the limit is exceeded. */
  get exhausted(): boolean {
    return this.#policy.exceedsBudget(this.#heldBytes);
  }

  /** Bytes that may be buffered for one caller before its runner has to wait. */
  get readAheadBytes(): number {
    return this.#policy.readAheadBytes(this.#heldBytes);
  }

  /** Whether a request with a body of this size must be refused. */
  refuses(bodyBytes: number): boolean {
    return this.#policy.refuses(this.#heldBytes, bodyBytes);
  }

  /** Whether a request must be refused of whose body this much has been received, and not all. */
  refusesRest(bodyBytes: number): boolean {
    if (this.exhausted) return true;
    return this.#policy.refusesRest(this.#heldBytes, bodyBytes, this.#receivingCount);
  }

  /** Counts a request whose body begins to be received, or is not received any more. */
  noteReceiving(isReceiving: boolean): void {
    this.#receivingCount += isReceiving ? 1 : -1;
  }

  /** Registers the buffers of a new request. */
  open(buffers: CallerBuffers): void {
    this.#open.add(buffers);
  }

  /** Unregisters the buffers of a request that is over. */
  close(buffers: CallerBuffers): void {
    this.#open.delete(buffers);
  }

  /** Counts bytes that are held in addition; negative when fewer are held. */
  add(reason: BufferReason, bytes: number): void {
    this.#held[reason] += bytes;
    this.#heldBytes += bytes;
    if (this.#timer === undefined && !this.#policy.hasAmpleRoom(this.#heldBytes)) this.#scheduleCheck();
  }

  /** Counts a runner that begins to wait for a caller, or that stops waiting. */
  noteRunnerWaiting(isWaiting: boolean): void {
    this.#waitingRunners += isWaiting ? 1 : -1;
    if (isWaiting && this.#timer === undefined) this.#scheduleCheck();
  }

  #scheduleCheck(): void {
    const { clock } = this.#context;
    this.#checkedAtMs = clock.monotonicMs();
    this.#timer = clock.schedule(CHECK_INTERVAL_MS, () => this.#check());
  }

  #check(): void {
    const elapsedMs = Math.min(MAX_ELAPSED_MS, this.#context.clock.monotonicMs() - this.#checkedAtMs);
    const waiting = [...this.#open].filter((buffers) => buffers.update(elapsedMs));
    for (const buffers of this.#policy.callersToCut(waiting, this.#heldBytes)) this.#cut(buffers);
    this.#timer = undefined;
    if (this.#waitingRunners > 0 || !this.#policy.hasAmpleRoom(this.#heldBytes)) this.#scheduleCheck();
  }

  #cut(buffers: CallerBuffers): void {
    const { request, heldBytes, idleMs, holdsRunner } = buffers;
    const { log, metrics } = this.#context;
    const line = {
      request: loggedIdentifier(request),
      heldBytes,
      idleMs: Math.round(idleMs),
      holdsRunner,
      allHeldBytes: this.#heldBytes,
    };
    log.warn(line, "slow reader cut");
    metrics.recordReaderDisconnect(holdsRunner ? "runnerWaits" : "memoryShort");
    buffers.cut();
    buffers.close();
  }
}
