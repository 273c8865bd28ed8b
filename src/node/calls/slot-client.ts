import type { SlotGranted, SlotQueued, SlotRefused } from "../../messages/slot-messages.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import { type SlotRequest, slotKey } from "../../scheduling/queue/slot-request.ts";
import type { NodeContext } from "../node-context.ts";
import type { RunnerDirectory } from "../runners/runner-directory.ts";

/** The result of a slot request. */
export type SlotReply =
  | { readonly type: "granted"; readonly fencingToken: number; readonly waitedMs: number }
  | { readonly type: "refused"; readonly reason: SlotRefused["reason"]; readonly retryAfterMs: number }
  /** The runner's home did not answer, or the request was withdrawn. */
  | { readonly type: "silent" };

interface PendingSlot {
  readonly runner: string;
  readonly home: string;
  readonly request: SlotRequest;
  readonly resolve: (reply: SlotReply) => void;
  unansweredSends: number;
  timer: TimerHandle;
}

/** Number of sends without any answer after which a home counts as unreachable. */
const MAX_UNANSWERED_SENDS = 4;

/**
 * Requests slots from runner homes on behalf of a shard's leader. Resends each request until the home grants or
 * refuses it, and gives up when the home stops answering.
 */
export class SlotClient {
  readonly #context: NodeContext;
  readonly #directory: RunnerDirectory;
  readonly #pending = new Map<string, PendingSlot>();
  readonly #held = new Set<string>();

  constructor(context: NodeContext, directory: RunnerDirectory) {
    this.#context = context;
    this.#directory = directory;
  }

  /** Requests a slot from a runner's home. A granted slot must be returned with {@link release}. */
  request(runner: string, home: string, request: SlotRequest): Promise<SlotReply> {
    return new Promise((resolve) => {
      const key = slotKey(request.call, request.attempt);
      const timer = this.#context.clock.schedule(this.#retryMs, () => this.#resend(key));
      this.#pending.set(key, { runner, home, request, resolve, unansweredSends: 0, timer });
      this.#send(runner, home, request);
    });
  }

  /** Returns a slot, or withdraws a pending request from the home's queue. */
  release(runner: string, home: string, call: string, attempt: number): void {
    const key = slotKey(call, attempt);
    this.#settle(key, { type: "silent" });
    this.#held.delete(key);
    this.#context.transport.send(home, { type: "releaseSlot", runner, call, attempt });
  }

  /** Handles a granted slot. Returns it immediately if no request waits for it any more. */
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

  /** Handles the notice that a home queued a request. */
  onQueued(message: SlotQueued): void {
    const pending = this.#pending.get(slotKey(message.call, message.attempt));
    if (pending) pending.unansweredSends = 0;
  }

  /** Handles a refused request. */
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

  #resend(key: string): void {
    const pending = this.#pending.get(key);
    if (!pending) return;
    pending.unansweredSends += 1;
    if (pending.unansweredSends >= MAX_UNANSWERED_SENDS) {
      this.#directory.forgetHome(pending.runner, pending.home);
      return this.#settle(key, { type: "silent" });
    }
    pending.timer = this.#context.clock.schedule(this.#retryMs, () => this.#resend(key));
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
