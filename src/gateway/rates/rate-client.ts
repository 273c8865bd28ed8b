/**
 * Asks the owners of tenants' limits for admission. Requests of a tenant that arrive while an answer is pending are batched
 * into the next message: at low load a tenant costs one message per request, and at high load one message per round trip,
 * however many requests arrive.
 */
import type { RateAnswer, RateLimit } from "../../coordination/request-rate/index.ts";
import { delay } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import { OWNER_POLL_MS } from "../partitions/owner-poll.ts";
import type { PartitionHost } from "../partitions/partition-host.ts";
import { PartitionOwners } from "../partitions/partition-owners.ts";
import type { RateVerdict } from "./rate-verdict.ts";

/**
 * Timeout for an owner's answer, in ms: many times the latency between zones. After it the batch is sent again, possibly to
 * the next owner. The same owner then gives the same answer, and counts the requests once.
 */
const ANSWER_TIMEOUT_MS = 400;

interface Waiter {
  readonly deadlineAtMs: number;
  readonly resolve: (verdict: RateVerdict) => void;
}

/** The requests of a tenant that wait for an answer. */
interface TenantQueue {
  readonly tenant: TenantName;
  limit: RateLimit;
  limitVersion: number;
  waiting: Waiter[];
  /** The requests of the batch that awaits an answer. */
  inFlight: Waiter[];
  /** Why the last attempt got no answer. */
  detail: string;
}

/** A batch of requests that an owner is asked to admit. It keeps its number when it is sent again. */
interface AdmissionBatch {
  readonly number: number;
  readonly wanted: number;
}

export class RateClient {
  readonly #context: GatewayContext;
  readonly #owners: PartitionOwners;
  /** Queues of the tenants that have waiting requests. */
  readonly #queues = new Map<TenantName, TenantQueue>();
  #lastBatch = 0;

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    partitions: PartitionHost,
    rpc: RpcEndpoint<GatewayRpcSchema>,
  ) {
    this.#context = context;
    this.#owners = new PartitionOwners(context, members, partitions, rpc);
  }

  /**
   * Decides whether one more request of a tenant is admitted.
   *
   * @param limitVersion version of the configuration that contains the limit
   * @param deadlineAtMs when to stop looking for an owner, in ms of the monotonic clock
   */
  admit(
    { name, limit }: Tenant,
    limitVersion: number,
    deadlineAtMs: number,
  ): RateVerdict | Promise<RateVerdict> {
    if (!limit) return { type: "granted" };
    return new Promise((resolve) => {
      const waiter = { deadlineAtMs, resolve };
      const queue = this.#queues.get(name);
      if (queue) {
        queue.waiting.push(waiter);
        if (limitVersion > queue.limitVersion) Object.assign(queue, { limit, limitVersion });
        return;
      }
      const created = { tenant: name, limit, limitVersion, waiting: [waiter], inFlight: [], detail: "" };
      this.#queues.set(name, created);
      void this.#processQueue(created);
    });
  }

  /** The partition of a tenant, and its owner as far as this gateway knows. */
  ownerOf(tenant: TenantName): { readonly partition: number; readonly owner: string | undefined } {
    const partition = this.#owners.partitionOf(tenant);
    return { partition, owner: this.#owners.ownerOf(partition) };
  }

  /** Sends batches until no requests of the tenant wait. */
  async #processQueue(queue: TenantQueue): Promise<void> {
    while (queue.waiting.length > 0) {
      queue.inFlight = queue.waiting.splice(0);
      this.#lastBatch += 1;
      await this.#askUntilAnswered(queue, { number: this.#lastBatch, wanted: queue.inFlight.length });
      this.#expireWaiters(queue);
    }
    this.#queues.delete(queue.tenant);
  }

  /** Sends a batch until it is answered, or until none of its requests wait any more. */
  async #askUntilAnswered(queue: TenantQueue, batch: AdmissionBatch): Promise<void> {
    while (queue.inFlight.length > 0) {
      const answer = await this.#ask(queue, batch);
      if (answer) return resolveWaiters(queue.inFlight.splice(0), answer);
      await delay(this.#context.clock, OWNER_POLL_MS);
      this.#expireWaiters(queue);
    }
  }

  async #ask(queue: TenantQueue, { number, wanted }: AdmissionBatch): Promise<RateAnswer | undefined> {
    const { tenant, limit, limitVersion } = queue;
    const partition = this.#owners.partitionOf(tenant);
    const request = { partition, tenant, wanted, limit, limitVersion, question: number };
    const reply = await this.#owners.ask("admitRequests", request, ANSWER_TIMEOUT_MS);
    if (reply.type === "done") return reply.body;
    queue.detail = reply.type === "failed" ? reply.detail : "no gateway owns the tenant's partition";
    return undefined;
  }

  #expireWaiters(queue: TenantQueue): void {
    const nowMs = this.#context.clock.monotonicMs();
    const isExpired = ({ deadlineAtMs }: Waiter) => deadlineAtMs <= nowMs;
    const expired = [...queue.inFlight, ...queue.waiting].filter(isExpired);
    if (expired.length === 0) return;
    queue.inFlight = queue.inFlight.filter((waiter) => !isExpired(waiter));
    queue.waiting = queue.waiting.filter((waiter) => !isExpired(waiter));
    for (const { resolve } of expired) resolve({ type: "unavailable", detail: queue.detail });
  }
}

/** Grants the requests in the order of their arrival. */
function resolveWaiters(
  waiters: readonly Waiter[],
  { granted, retryAfterMs, retryStepMs }: RateAnswer,
): void {
  for (const [index, { resolve }] of waiters.entries()) {
    if (index < granted) resolve({ type: "granted" });
    else resolve({ type: "limited", retryAfterMs: retryAfterMs + (index - granted) * retryStepMs });
  }
}
