/**
 * Counts what a gateway holds for callers that read slowly, and cuts some when it is too much. Who, the policy says; while
 * little is held there is no timer, and nobody is looked at.
 */
import type { TimerHandle } from "../../runtime/clock.ts";
import { BufferPolicy } from "../../scheduling/buffers/buffer-policy.ts";
import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { CallerBuffers } from "./caller-buffers.ts";

/** Time between two looks at callers, in ms. */
const LOOK_MS = 250;
/** Time that one look counts for at most, in ms: callers could not be seen to read while this process stood still. */
const MOST_LOOK_MS = 2 * LOOK_MS;
/**
 * Part of the process's memory that may be held. On a small machine a gateway without callers fills a third of it, and the
 * runtime leaves another third of buffers that have been used uncollected.
 */
const MEMORY_PART = 0.15;
const BYTES_PER_MEGABYTE = 1_000_000;

/** See the module's comment. */
export class BufferPool {
  readonly #context: GatewayContext;
  readonly #policy: BufferPolicy;
  readonly #held: Record<BufferReason, number> = { answers: 0, collected: 0, bodies: 0, outputs: 0 };
  readonly #open = new Set<CallerBuffers>();
  #heldBytes = 0;
  #timer: TimerHandle | undefined;
  #lookedAtMs = 0;
  #waitingRunners = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
    const { mostBytes, memoryMb } = context.settings.buffers;
    this.#policy = new BufferPolicy(mostBytes || memoryMb * BYTES_PER_MEGABYTE * MEMORY_PART);
  }

  /** Bytes held for all callers. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes held for all callers for one reason. */
  heldFor(reason: BufferReason): number {
    return this.#held[reason];
  }

  /** Whether there is no room for anything more. */
  get exhausted(): boolean {
    return this.#policy.exceedsBudget(this.#heldBytes);
  }

  /** Bytes that may wait for one caller before its runner has to wait as well. */
  get readAheadBytes(): number {
    return this.#policy.readAheadBytes(this.#heldBytes);
  }

  /** Whether a request that brings so many bytes is refused. */
  refuses(bodyBytes: number): boolean {
    return this.#policy.refuses(this.#heldBytes, bodyBytes);
  }

  /** A request has come. */
  open(buffers: CallerBuffers): void {
    this.#open.add(buffers);
  }

  /** A request is over. */
  close(buffers: CallerBuffers): void {
    this.#open.delete(buffers);
  }

  /** So many bytes more are held. */
  add(reason: BufferReason, bytes: number): void {
    this.#held[reason] += bytes;
    this.#heldBytes += bytes;
    if (this.#timer === undefined && !this.#policy.hasAmpleRoom(this.#heldBytes)) this.#lookSoon();
  }

  /** A runner begins to wait for a caller, or does so no longer. */
  noteRunner(waits: boolean): void {
    this.#waitingRunners += waits ? 1 : -1;
    if (waits && this.#timer === undefined) this.#lookSoon();
  }

  #lookSoon(): void {
    const { clock } = this.#context;
    this.#lookedAtMs = clock.monotonicMs();
    this.#timer = clock.schedule(LOOK_MS, () => this.#look());
  }

  #look(): void {
    const elapsedMs = Math.min(MOST_LOOK_MS, this.#context.clock.monotonicMs() - this.#lookedAtMs);
    const waiting = [...this.#open].filter((buffers) => buffers.look(elapsedMs));
    for (const buffers of this.#policy.callersToCut(waiting, this.#heldBytes)) this.#cut(buffers);
    this.#timer = undefined;
    if (this.#waitingRunners > 0 || !this.#policy.hasAmpleRoom(this.#heldBytes)) this.#lookSoon();
  }

  #cut(buffers: CallerBuffers): void {
    const { request, heldBytes, idleMs, holdsRunner } = buffers;
    const { log, metrics } = this.#context;
    const line = {
      request,
      heldBytes,
      idleMs: Math.round(idleMs),
      holdsRunner,
      allHeldBytes: this.#heldBytes,
    };
    log.warn(line, "slow reader cut");
    metrics.readerCut(holdsRunner ? "runnerWaits" : "memoryShort");
    buffers.cut();
    buffers.close();
  }
}
