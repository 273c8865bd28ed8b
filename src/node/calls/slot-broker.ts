import type { SlotGranted, SlotQueued, SlotRefused } from "../../messages/slot-messages.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import { type SlotRequest, slotKey } from "../../scheduling/queue/slot-request.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";

/** How a request for a slot ended. */
export type SlotReply =
  | { readonly type: "granted"; readonly fencingToken: number; readonly waitedMs: number }
  | { readonly type: "refused"; readonly reason: SlotRefused["reason"]; readonly retryAfterMs: number }
  /** The home does not answer. */
  | { readonly type: "silent" };

interface PendingSlot {
  readonly runner: string;
  readonly home: string;
  readonly request: SlotRequest;
  readonly resolve: (reply: SlotReply) => void;
  unanswered: number;
  timer: TimerHandle;
}

/** Repetitions without any answer after which a home counts as gone. */
const MAX_UNANSWERED = 4;

/** The leader's side of slot requests: repeats them until the home answers, or gives the home up. */
export class SlotBroker {
  readonly #context: NodeContext;
  readonly #directory: RunnerDirectory;
  readonly #pending = new Map<string, PendingSlot>();
  readonly #held = new Set<string>();

  constructor(context: NodeContext, directory: RunnerDirectory) {
    this.#context = context;
    this.#directory = directory;
  }

  /** Asks a runner's home for a slot. A slot that was granted must be given to {@link release}. */
  request(runner: string, home: string, request: SlotRequest): Promise<SlotReply> {
    return new Promise((resolve) => {
      const key = slotKey(request.call, request.attempt);
      const timer = this.#context.clock.schedule(this.#retryMs, () => this.#repeat(key));
      this.#pending.set(key, { runner, home, request, resolve, unanswered: 0, timer });
      this.#send(runner, home, request);
    });
  }

  /** Gives a slot back, or takes a request out of the line. */
  release(runner: string, home: string, call: string, attempt: number): void {
    const key = slotKey(call, attempt);
    this.#settle(key, { type: "silent" });
    this.#held.delete(key);
    this.#context.transport.send(home, { type: "releaseSlot", runner, call, attempt });
  }

  /** A home granted a slot. One that nobody waits for any more goes back at once. */
  onGranted(message: SlotGranted, from: string): void {
    this.#directory.recordLoads(from, message.load);
    const { runner, call, attempt, fencingToken, waitedMs } = message;
    const key = slotKey(call, attempt);
    if (this.#pending.get(key)?.runner === runner) {
      this.#held.add(key);
      this.#settle(key, { type: "granted", fencingToken, waitedMs });
    } else if (!this.#held.has(key)) {
      this.#context.transport.send(from, { type: "releaseSlot", runner, call, attempt });
    }
  }

  /** A home put a request in line. */
  onQueued(message: SlotQueued): void {
    const pending = this.#pending.get(slotKey(message.call, message.attempt));
    if (pending) pending.unanswered = 0;
  }

  /** A home refused a request. */
  onRefused(message: SlotRefused, from: string): void {
    this.#directory.recordLoads(from, message.load);
    if (message.reason === "not-home") this.#directory.forgetHome(message.runner, from);
    const key = slotKey(message.call, message.attempt);
    if (this.#pending.get(key)?.runner !== message.runner) return;
    this.#settle(key, { type: "refused", reason: message.reason, retryAfterMs: message.retryAfterMs });
  }

  get #retryMs(): number {
    return this.#context.settings.timing.slotRetryMs;
  }

  #send(runner: string, home: string, request: SlotRequest): void {
    this.#context.transport.send(home, { type: "requestSlot", runner, request });
  }

  #repeat(key: string): void {
    const pending = this.#pending.get(key);
    if (!pending) return;
    pending.unanswered += 1;
    if (pending.unanswered >= MAX_UNANSWERED) {
      this.#directory.forgetHome(pending.runner, pending.home);
      return this.#settle(key, { type: "silent" });
    }
    pending.timer = this.#context.clock.schedule(this.#retryMs, () => this.#repeat(key));
    this.#send(pending.runner, pending.home, pending.request);
  }

  #settle(key: string, reply: SlotReply): void {
    const pending = this.#pending.get(key);
    if (!pending) return;
    this.#pending.delete(key);
    this.#context.clock.cancel(pending.timer);
    pending.resolve(reply);
  }
}
