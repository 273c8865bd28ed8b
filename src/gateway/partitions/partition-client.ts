/**
 * Asks the owners of partitions, wherever they are: every gateway takes callers' requests, and one of them owns the
 * partition of a program.
 */

import { delay } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  AdmitTurnRequest,
  AdmitTurnResponse,
  EndTurnRequest,
  EndTurnResponse,
  GatewayRpcSchema,
  RetainedTurnContent,
} from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { StoreHealth } from "../store-health.ts";
import { OWNER_POLL_MS } from "./owner-poll.ts";
import type { PartitionHost } from "./partition-host.ts";
import { PartitionOwners } from "./partition-owners.ts";

/** How long the end of a turn is told again and again, in ms; after it, the turn counts at its most. */
const END_TURN_TIMEOUT_MS = 30_000;
/**
 * How long the end of an answer waits for the owner once the store has its turn, in ms: a few times what an answer between
 * zones takes. Until the owner knows, the turn counts with its most against the budget, and the next one reads it from the
 * store.
 */
const END_RETAINED_TIMEOUT_MS = 300;

/** Requests about turns. */
type TurnRequestName = "admitTurn" | "endTurn";

type Unavailable = { readonly type: "unavailable"; readonly detail: string };

/** See the module's comment. */
export class PartitionClient {
  readonly #context: GatewayContext;
  readonly #owners: PartitionOwners;
  readonly #host: PartitionHost;
  readonly #health: StoreHealth;

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    host: PartitionHost,
    rpc: RpcEndpoint<GatewayRpcSchema>,
    health: StoreHealth,
  ) {
    this.#context = context;
    this.#owners = new PartitionOwners(context, members, host, rpc);
    this.#host = host;
    this.#health = health;
  }

  /** The partition of a program. */
  partitionOf(program: ProgramId): number {
    return this.#owners.partitionOf(program);
  }

  /** The incarnation that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    return this.#owners.ownerOf(partition);
  }

  /** Asks whether a turn may run, until `deadlineAtMs` of the clock or `cancelled`. */
  admit(
    request: AdmitTurnRequest,
    deadlineAtMs: number,
    isCancelled: () => boolean,
  ): Promise<AdmitTurnResponse> {
    return this.#askOwner("admitTurn", request, deadlineAtMs, isCancelled);
  }

  /** Tells the owner that a turn has ended; keeps on trying. */
  end(request: EndTurnRequest): Promise<EndTurnResponse | Unavailable> {
    const deadlineAtMs = this.#context.clock.monotonicMs() + END_TURN_TIMEOUT_MS;
    return this.#askOwner("endTurn", request, deadlineAtMs, () => false);
  }

  /**
   * Has the store keep a turn that has ended whole; resolves with true once it does, with false after `patienceMs`. Its
   * caller may be told of its end then, whichever gateways die afterwards.
   */
  storeTurn(turn: RequestId, content: RetainedTurnContent, timeoutMs: number): Promise<boolean> {
    return this.#host.storeTurn(turn, content, timeoutMs);
  }

  /** Tells the owner that a turn has ended which the store keeps; resolves when it knows, or has not answered for a while. */
  async endRetained(request: EndTurnRequest): Promise<void> {
    await Promise.race([this.end(request), delay(this.#context.clock, END_RETAINED_TIMEOUT_MS)]);
  }

  async #askOwner<Name extends TurnRequestName>(
    name: Name,
    request: GatewayRpcSchema[Name]["request"],
    deadlineAtMs: number,
    isCancelled: () => boolean,
  ): Promise<GatewayRpcSchema[Name]["response"] | Unavailable> {
    const { clock } = this.#context;
    let detail = "no gateway owns the partition";
    while (!isCancelled()) {
      const remainingMs = deadlineAtMs - clock.monotonicMs();
      if (remainingMs <= 0) break;
      const reply = await this.#owners.ask(name, request, remainingMs);
      if (reply.type === "done") return reply.body;
      if (reply.type === "failed") detail = reply.detail;
      else if (!this.#health.reachable) {
        detail = "nobody owns the partition, and the store does not answer";
        break;
      }
      await delay(clock, OWNER_POLL_MS);
    }
    return { type: "unavailable", detail };
  }
}
