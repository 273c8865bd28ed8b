/** Tracks the bytes held for one request of a caller, from the request's head to the last byte that the caller reads. */
import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";
import type { WaitingCaller } from "../../scheduling/buffers/waiting-caller.ts";
import type { BufferLimiter } from "./buffer-limiter.ts";

/** The state of a caller's connection, as seen by the code that reads from it or writes to it. */
export interface CallerProgress {
  /** Bytes that the caller has not read yet. */
  unreadBytes(): number;
  /** Bytes that the caller has read or sent so far. */
  transferredBytes(): number;
  /** Whether the request can't proceed until the caller reads or sends something. */
  isWaitingForCaller(): boolean;
  /** Ends the caller's connection. */
  cut(): void;
}

export class CallerBuffers implements WaitingCaller {
  readonly #limiter: BufferLimiter;
  readonly #held: Record<BufferReason, number> = {
    answers: 0,
    collected: 0,
    bodies: 0,
    requests: 0,
    outputs: 0,
  };
  #progress: CallerProgress | undefined;
  #transferredBytes = 0;
  #idleMs = 0;
  #isReceiving = false;
  /** The request's ID for the log, once it is known. */
  request = "";
  /** Whether a runner waits for the caller to read. */
  holdsRunner = false;
  /** Called at each check while a runner waits. */
  onUpdate: () => void = () => undefined;

  constructor(limiter: BufferLimiter) {
    this.#limiter = limiter;
    limiter.open(this);
  }

  get heldBytes(): number {
    const { answers, collected, bodies, requests, outputs } = this.#held;
    return answers + collected + bodies + requests + outputs;
  }

  get idleMs(): number {
    return this.#idleMs;
  }

  /** Bytes that may be buffered for the caller before its runner has to wait. */
  get readAheadBytes(): number {
    return this.#limiter.readAheadBytes;
  }

  /** Whether the request must be refused because of the size of its body, which is still being received. */
  get refusesRest(): boolean {
    return this.#limiter.refusesRest(this.#held.bodies);
  }

  /** Records whether the request's body is being received. */
  setReceiving(isReceiving: boolean): void {
    if (this.#isReceiving === isReceiving) return;
    this.#isReceiving = isReceiving;
    this.#limiter.noteReceiving(isReceiving);
  }

  /** Whether the limit is exceeded, and this call has collected more than its share of an answer that is still incomplete. */
  get exceedsShare(): boolean {
    return this.#limiter.exhausted && this.#held.collected > this.#limiter.readAheadBytes;
  }

  /** Sets the source of the connection's state, and starts to measure its idle time again. */
  setProgress(progress: CallerProgress): void {
    this.#progress = progress;
    this.#transferredBytes = 0;
    this.#idleMs = 0;
  }

  /** Counts bytes that are held in addition; negative when fewer are held. */
  add(reason: BufferReason, bytes: number): void {
    this.#held[reason] += bytes;
    this.#limiter.add(reason, bytes);
  }

  /** Sets the number of bytes held for a reason. */
  set(reason: BufferReason, bytes: number): void {
    this.add(reason, bytes - this.#held[reason]);
  }

  /** Releases what the call holds besides its request, except for what its caller has not read yet. */
  releaseCall(): void {
    this.set("collected", 0);
    this.set("bodies", 0);
    this.set("outputs", 0);
  }

  /** Releases everything: the caller has read the whole answer, or is gone. */
  close(): void {
    this.set("answers", 0);
    this.set("requests", 0);
    this.releaseCall();
    this.setReceiving(false);
    this.#progress = undefined;
    this.#limiter.close(this);
  }

  /** Updates the state by what the caller did since the last check; returns whether the request waits for the caller. */
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
