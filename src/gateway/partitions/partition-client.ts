/**
 * Sends requests to the owners of partitions. Every gateway accepts callers' requests, but only one of them owns the
 * partition of a given program.
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

/**
 * How long the report of a turn's end is retried, in ms. After that, the turn stays charged with the most tokens that
 * it could generate.
 */
const END_TURN_TIMEOUT_MS = 30_000;
/**
 * How long the end of an answer waits for the owner once its turn is in the store, in ms. This is a few times the
 * latency of a request between zones. Until the owner is notified, the turn is charged with the most tokens that it
 * could generate, and the next turn reads it from the store.
 */
const END_RETAINED_TIMEOUT_MS = 300;

/** Names of the requests about turns. */
type TurnRequestName = "admitTurn" | "endTurn";

type Unavailable = { readonly type: "unavailable"; readonly detail: string };

/** Finds the owner of a program's partition and retries requests until it responds or time is up. */
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

  /** Returns the partition of a program. */
  partitionOf(program: ProgramId): number {
    return this.#owners.partitionOf(program);
  }

  /** Returns the instance that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    return this.#owners.ownerOf(partition);
  }

  /** Asks the owner whether a turn may run. Retries until `deadlineAtMs` (monotonic clock) or until `isCancelled`. */
  admit(
    request: AdmitTurnRequest,
    deadlineAtMs: number,
    isCancelled: () => boolean,
  ): Promise<AdmitTurnResponse> {
    return this.#askOwner("admitTurn", request, deadlineAtMs, isCancelled);
  }

  /** Reports the end of a turn to the owner, with retries. */
  end(request: EndTurnRequest): Promise<EndTurnResponse | Unavailable> {
    const deadlineAtMs = this.#context.clock.monotonicMs() + END_TURN_TIMEOUT_MS;
    return this.#askOwner("endTurn", request, deadlineAtMs, () => false);
  }

  /**
   * Writes a completed turn to the store. Resolves with true once it is stored, or with false after `timeoutMs`. Once
   * it is stored, the caller may be told that the turn has ended: the turn survives the loss of any gateway.
   */
  storeTurn(turn: RequestId, content: RetainedTurnContent, timeoutMs: number): Promise<boolean> {
    return this.#host.storeTurn(turn, content, timeoutMs);
  }

  /** Reports the end of a stored turn to the owner. Resolves when the owner confirms it or after a short timeout. */
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
