/** What a gateway holds for one request of a caller, from its head to the last byte that the caller takes. */
import type { BufferReason } from "../../scheduling/buffers/buffer-reason.ts";
import type { WaitingCaller } from "../../scheduling/buffers/waiting-caller.ts";
import type { BufferPool } from "./buffer-pool.ts";

/** What the side that speaks to the caller says of it. */
export interface CallerProgress {
  /** Bytes that the caller has still to take. */
  unreadBytes(): number;
  /** Bytes that it has taken or sent so far. */
  movedBytes(): number;
  /** Whether nothing goes on until the caller takes or sends something. */
  awaitsCaller(): boolean;
  /** Ends the connection. */
  cut(): void;
}

/** See the module's comment. */
export class CallerBuffers implements WaitingCaller {
  readonly #pool: BufferPool;
  readonly #held: Record<BufferReason, number> = { answers: 0, collected: 0, bodies: 0, outputs: 0 };
  #progress: CallerProgress | undefined;
  #movedBytes = 0;
  #idleMs = 0;
  /** For the log: the request, once it is known. */
  request = "";
  /** Whether a runner waits until the caller takes something. */
  holdsRunner = false;
  /** Called now and then while a runner waits. */
  onLook: () => void = () => undefined;

  constructor(pool: BufferPool) {
    this.#pool = pool;
    pool.open(this);
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
    return this.#pool.readAheadBytes;
  }

  /** Whether there is no room for anything more. */
  get exhausted(): boolean {
    return this.#pool.exhausted;
  }

  /** Whether there is no room, and this call collects more than its part of an answer that is not whole yet. */
  get overdrawn(): boolean {
    return this.#pool.exhausted && this.#held.collected > this.#pool.readAheadBytes;
  }

  /** Sets who speaks to the caller now. */
  follow(progress: CallerProgress): void {
    this.#progress = progress;
    this.#movedBytes = 0;
    this.#idleMs = 0;
  }

  /** So many bytes more are held. */
  add(reason: BufferReason, bytes: number): void {
    this.#held[reason] += bytes;
    this.#pool.add(reason, bytes);
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
    this.#pool.close(this);
  }

  /** Takes in what the caller has done in the time since the last look; returns whether it is waited for. */
  look(elapsedMs: number): boolean {
    const progress = this.#progress;
    if (!progress) return false;
    this.set("answers", progress.unreadBytes());
    if (this.holdsRunner) this.onLook();
    const movedBytes = progress.movedBytes();
    const moved = movedBytes > this.#movedBytes;
    this.#movedBytes = movedBytes;
    const awaited = progress.awaitsCaller();
    this.#idleMs = awaited && !moved ? this.#idleMs + elapsedMs : 0;
    return awaited;
  }

  /** Ends the caller's connection. */
  cut(): void {
    this.#progress?.cut();
  }
}
