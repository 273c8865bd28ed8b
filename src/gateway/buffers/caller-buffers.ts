/** What a gateway holds for one request of a caller, from its head to the last byte that the caller takes. */
import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";
import type { WaitingCaller } from "../../scheduling/buffers/waiting-caller.ts";
import type { BufferLimiter } from "./buffer-limiter.ts";

/** What the side that speaks to the caller says of it. */
export interface CallerProgress {
  /** Bytes that the caller has still to take. */
  unreadBytes(): number;
  /** Bytes that it has taken or sent so far. */
  transferredBytes(): number;
  /** Whether nothing goes on until the caller takes or sends something. */
  isWaitingForCaller(): boolean;
  /** Ends the connection. */
  cut(): void;
}

/** See the module's comment. */
export class CallerBuffers implements WaitingCaller {
  readonly #limiter: BufferLimiter;
  readonly #held: Record<BufferReason, number> = { answers: 0, collected: 0, bodies: 0, outputs: 0 };
  #progress: CallerProgress | undefined;
  #transferredBytes = 0;
  #idleMs = 0;
  /** For the log: the request, once it is known. */
  request = "";
  /** Whether a runner waits until the caller takes something. */
  holdsRunner = false;
  /** Called now and then while a runner waits. */
  onUpdate: () => void = () => undefined;

  constructor(limiter: BufferLimiter) {
    this.#limiter = limiter;
    limiter.open(this);
  }

  get heldBytes(): number {
    const { answers, collected, bodies, outputs } = this.#held;
    return answers + collected + bodies + outputs;
  }

  get idleMs(): number {
    return this.#idleMs;
  }

  /** Bytes that may wait for the caller before its runner has to wait as well. */
  get readAheadBytes(): number {
    return this.#limiter.readAheadBytes;
  }

  /** Whether there is no room for anything more. */
  get exhausted(): boolean {
    return this.#limiter.exhausted;
  }

  /** Whether there is no room, and this call collects more than its part of an answer that is not whole yet. */
  get exceedsShare(): boolean {
    return this.#limiter.exhausted && this.#held.collected > this.#limiter.readAheadBytes;
  }

  /** Sets who speaks to the caller now. */
  setProgress(progress: CallerProgress): void {
    this.#progress = progress;
    this.#transferredBytes = 0;
    this.#idleMs = 0;
  }

  /** So many bytes more are held. */
  add(reason: BufferReason, bytes: number): void {
    this.#held[reason] += bytes;
    this.#limiter.add(reason, bytes);
  }

  /** So many bytes are held. */
  set(reason: BufferReason, bytes: number): void {
    this.add(reason, bytes - this.#held[reason]);
  }

  /** Nothing is held for the call any more but what its caller has still to take. */
  releaseCall(): void {
    this.set("collected", 0);
    this.set("bodies", 0);
    this.set("outputs", 0);
  }

  /** The caller has everything, or is gone. */
  close(): void {
    this.set("answers", 0);
    this.releaseCall();
    this.#progress = undefined;
    this.#limiter.close(this);
  }

  /** Takes in what the caller has done in the time since the last look; returns whether it is waited for. */
  update(elapsedMs: number): boolean {
    const progress = this.#progress;
    if (!progress) return false;
    this.set("answers", progress.unreadBytes());
    if (this.holdsRunner) this.onUpdate();
    const transferredBytes = progress.transferredBytes();
    const moved = transferredBytes > this.#transferredBytes;
    this.#transferredBytes = transferredBytes;
    const isWaiting = progress.isWaitingForCaller();
    this.#idleMs = isWaiting && !moved ? this.#idleMs + elapsedMs : 0;
    return isWaiting;
  }

  /** Ends the caller's connection. */
  cut(): void {
    this.#progress?.cut();
  }
}
