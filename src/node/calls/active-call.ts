import type { CallEvent } from "../../messages/call-messages.ts";
import { CancellationSource } from "../../runtime/cancellation.ts";

/** What an executing call waits for. */
export type CallPhase = "intent" | "slot" | "engine" | "service" | "next attempt" | "outcome";

/** Phases in which a call waits for the shard's leader to commit a command. */
const COMMIT_PHASES: ReadonlySet<CallPhase> = new Set(["intent", "next attempt", "outcome"]);

/** A call that this node executes as its shard's leader: the text so far and the nodes to notify. */
export class ActiveCall {
  readonly id: string;
  readonly cancellation = new CancellationSource();
  readonly #send: (address: string, event: CallEvent) => void;
  readonly #subscribers = new Set<string>();
  readonly #now: () => number;
  #text: string;
  #phase: CallPhase = "intent";
  #lastProgressMs: number;

  /**
   * @param receivedText the text that a caller has already received from an earlier attempt; the answer starts with it
   * @param now returns the monotonic time, in ms
   * @param send sends an event to the caller's ingress node
   */
  constructor(
    id: string,
    receivedText: string,
    now: () => number,
    send: (address: string, event: CallEvent) => void,
  ) {
    this.id = id;
    this.#text = receivedText;
    this.#now = now;
    this.#send = send;
    this.#lastProgressMs = now();
  }

  /** What the call waits for. */
  get phase(): CallPhase {
    return this.#phase;
  }

  /** Whether the call waits for the shard's leader to commit a command. */
  get awaitsCommit(): boolean {
    return COMMIT_PHASES.has(this.#phase);
  }

  /** Time since the call entered its phase or received text, in ms. */
  get idleMs(): number {
    return this.#now() - this.#lastProgressMs;
  }

  /** Records what the call waits for from now on. */
  enter(phase: CallPhase): void {
    this.#phase = phase;
    this.#lastProgressMs = this.#now();
  }

  /** The text generated so far. */
  get text(): string {
    return this.#text;
  }

  /** Whether any node waits for the call. */
  get hasSubscribers(): boolean {
    return this.#subscribers.size > 0;
  }

  /** Adds a caller's ingress node and sends it the text it has not received yet. */
  subscribe(address: string, receivedText: string): void {
    this.#subscribers.add(address);
    this.#send(address, { type: "callAccepted", call: this.id });
    const missing = this.#text.slice(receivedText.length);
    if (missing && this.#text.startsWith(receivedText))
      this.#sendChunk(address, receivedText.length, missing);
  }

  /** Removes a node. */
  unsubscribe(address: string): void {
    this.#subscribers.delete(address);
  }

  /** Appends generated text. Drops a chunk that does not continue the text so far: it belongs to an old attempt. */
  append(offset: number, text: string): void {
    if (offset !== this.#text.length) return;
    this.#text += text;
    this.#lastProgressMs = this.#now();
    for (const address of this.#subscribers) this.#sendChunk(address, offset, text);
  }

  /** Sends an event to every waiting node. */
  publish(event: CallEvent): void {
    for (const address of this.#subscribers) this.#send(address, event);
  }

  #sendChunk(address: string, offset: number, text: string): void {
    this.#send(address, { type: "callChunk", call: this.id, offset, text });
  }
}
