/**
 * Asks the owners of tenants' limits. Requests of a tenant that come while an answer is under way go with the next
 * question: far from its limit a tenant costs one message a request, and under load one for each time that an answer
 * takes, however many requests come.
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
 * How long an answer of an owner may take, in ms: many times what a message between zones takes. After it the question is
 * asked again, perhaps of the next owner: the same owner then gives the same answer, and counts the requests once.
 */
const ANSWER_TIMEOUT_MS = 400;

interface Waiter {
  readonly deadlineAtMs: number;
  readonly resolve: (verdict: RateVerdict) => void;
}

/** Requests of a tenant that wait for an answer. */
interface TenantQueue {
  readonly tenant: TenantName;
  limit: RateLimit;
  limitVersion: number;
  waiting: Waiter[];
  /** Those that the question under way is for. */
  inFlight: Waiter[];
  detail: string;
}

/** A question to an owner, which may have to be repeated. */
interface AdmissionBatch {
  readonly number: number;
  readonly wanted: number;
}

/** See the module's comment. */
export class RateClient {
  readonly #context: GatewayContext;
  readonly #owners: PartitionOwners;
  /** Of tenants for which somebody waits. */
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
   * Whether one request more of a tenant may go on.
   *
   * @param limitVersion version of the configuration that the tenant's limit is from
   * @param deadlineAtMs until when an owner is looked for, in ms of the monotonic clock
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

  /** The partition of a tenant, and who owns it as far as this gateway knows. */
  ownerOf(tenant: TenantName): { readonly partition: number; readonly owner: string | undefined } {
    const partition = this.#owners.partitionOf(tenant);
    return { partition, owner: this.#owners.ownerOf(partition) };
  }

  /** Asks until nobody waits any more. */
  async #processQueue(queue: TenantQueue): Promise<void> {
    while (queue.waiting.length > 0) {
      queue.inFlight = queue.waiting.splice(0);
      this.#lastBatch += 1;
      await this.#askUntilAnswered(queue, { number: this.#lastBatch, wanted: queue.inFlight.length });
      this.#expireWaiters(queue);
    }
    this.#queues.delete(queue.tenant);
  }

  /** Asks one question as often as it takes, or until nobody waits for its answer any more. */
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

/** Those that came first go on first. */
function resolveWaiters(
  waiters: readonly Waiter[],
  { granted, retryAfterMs, retryStepMs }: RateAnswer,
): void {
  for (const [index, { resolve }] of waiters.entries()) {
    if (index < granted) resolve({ type: "granted" });
    else resolve({ type: "limited", retryAfterMs: retryAfterMs + (index - granted) * retryStepMs });
  }
}
