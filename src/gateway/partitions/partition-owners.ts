/** Maps program and tenant names to partitions, and sends requests to the partitions' owners. */
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { MemberDirectory } from "../members/member-directory.ts";
import type { PartitionHost } from "./partition-host.ts";

/** Names of the requests that are sent to the owner of a partition. */
export type OwnerRequestName = "admitTurn" | "endTurn" | "admitRequests";

/** Result of a request to an owner. */
export type OwnerReply<Name extends OwnerRequestName> =
  | { readonly type: "done"; readonly body: GatewayRpcSchema[Name]["response"] }
  /** No live gateway is known to own the partition. */
  | { readonly type: "noOwner" }
  | { readonly type: "failed"; readonly detail: string };

/** Sends single requests, without retries, to the owner of a partition. */
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

  /** Returns the partition of a program or tenant name. */
  partitionOf(name: string): number {
    return this.#context.hash.hash32(name) % this.#context.settings.partitions;
  }

  /** Returns the instance that owns a partition, as far as this gateway knows. */
  ownerOf(partition: number): string | undefined {
    return this.#host.ownerOf(partition);
  }

  /** Sends a request once to the owner of its partition. An owner that redirects the request is forgotten. */
  async ask<Name extends OwnerRequestName>(
    name: Name,
    request: GatewayRpcSchema[Name]["request"],
    timeoutMs: number,
  ): Promise<OwnerReply<Name>> {
    const { partition } = request;
    const owner = this.ownerOf(partition);
    const address = owner === undefined ? undefined : this.#members.addressOf(owner);
    if (owner === undefined || address === undefined) return { type: "noOwner" };
    const reply = await this.#rpc.ask(address, name, request, timeoutMs);
    if (reply.type === "done") return reply;
    if (reply.type === "redirect") this.#host.forgetOwner(partition, owner);
    return { type: "failed", detail: `the owner ${owner} gave ${reply.type}` };
  }
}
