/** Who owns the partitions that names lead to, and one question to an owner, wherever it is. */
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { PartitionHost } from "./partition-host.ts";

/** Requests that go to the owner of a partition. */
export type OwnerRequestName = "admitTurn" | "endTurn" | "admitRequests";

/** What came of a question. */
export type OwnerReply<Name extends OwnerRequestName> =
  | { readonly type: "done"; readonly body: GatewayRpcSchema[Name]["response"] }
  /** Nobody that is alive is known to own the partition. */
  | { readonly type: "nobody" }
  | { readonly type: "failed"; readonly detail: string };

/** See the module's comment. */
export class PartitionOwners {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #host: PartitionHost;
  readonly #rpc: RpcEndpoint<GatewayRpcSchema>;

  constructor(
    context: GatewayContext,
    members: MemberDirectory,
    host: PartitionHost,
    rpc: RpcEndpoint<GatewayRpcSchema>,
  ) {
    this.#context = context;
    this.#members = members;
    this.#host = host;
    this.#rpc = rpc;
  }

  /** The partition of a program, or of a tenant. */
  partitionOf(name: string): number {
    return this.#context.hash.hash32(name) % this.#context.settings.partitions;
  }

  /** The incarnation that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    return this.#host.ownerOf(partition);
  }

  /** Asks the owner of a request's partition once. An owner that says that it is none is forgotten. */
  async ask<Name extends OwnerRequestName>(
    name: Name,
    request: GatewayRpcSchema[Name]["request"],
    timeoutMs: number,
  ): Promise<OwnerReply<Name>> {
    const { partition } = request;
    const owner = this.ownerOf(partition);
    const address = owner === undefined ? undefined : this.#members.addressOf(owner);
    if (owner === undefined || address === undefined) return { type: "nobody" };
    const reply = await this.#rpc.ask(address, name, request, timeoutMs);
    if (reply.type === "done") return reply;
    if (reply.type === "redirect") this.#host.forgetOwner(partition, owner);
    return { type: "failed", detail: `the owner ${owner} gave ${reply.type}` };
  }
}
