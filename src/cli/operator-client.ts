import { requestError } from "../errors/tulipwheel-error.ts";
import type { ClusterView, RpcName, RpcSchema } from "../messages/rpc-messages.ts";
import { SystemClock } from "../runtime/clock.ts";
import { RpcEndpoint } from "../runtime/rpc.ts";
import { ShardRouter } from "../runtime/shard-router.ts";
import { systemRandom } from "../runtime/system-random.ts";
import { TcpTransport } from "../runtime/tcp-transport.ts";
import { loadTextHash, type TextHash } from "../runtime/text-hash.ts";
import { programOfCall, rootOfProgram } from "../scheduling/program/program-id.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const RETRY_AFTER_MS = 2_000;

/** A connection to the cluster for the duration of one operator command. */
export class OperatorClient {
  readonly #node: string;
  readonly #transport: TcpTransport;
  readonly #rpc: RpcEndpoint;
  readonly #router: ShardRouter;
  readonly #hash: TextHash;
  #addresses: readonly string[];

  private constructor(node: string, transport: TcpTransport, hash: TextHash) {
    const clock = new SystemClock();
    const random = systemRandom();
    this.#node = node;
    this.#addresses = [node];
    this.#transport = transport;
    this.#hash = hash;
    this.#rpc = new RpcEndpoint(transport, clock, random);
    this.#router = new ShardRouter(this.#rpc, clock, random, () => this.#addresses);
    transport.onMessage((message) => {
      if (message.type === "rpcResponse") this.#rpc.onResponse(message);
    });
  }

  /** Connects to the cluster through one of its nodes. */
  static async connect(node: string): Promise<OperatorClient> {
    const instance = `operator#${systemRandom().token(8)}`;
    const transport = await TcpTransport.listen({ instance, address: "127.0.0.1:0" });
    return new OperatorClient(node, transport, await loadTextHash());
  }

  /** Sends a request to one node. Throws a request error if the node reports a problem or doesn't respond. */
  async ask<Name extends RpcName>(
    name: Name,
    body: RpcSchema[Name]["request"],
    address = this.#node,
  ): Promise<RpcSchema[Name]["response"]> {
    const reply = await this.#rpc.ask(address, name, body, REQUEST_TIMEOUT_MS);
    if (reply.type === "done") return reply.body;
    if (reply.type === "problem") throw reply.error;
    const detail = `The node at ${address} does not answer.`;
    throw requestError("unavailable", detail, { retryAfterMs: RETRY_AFTER_MS, outcome: "unknown" });
  }

  /** Sends a request to the leader of the shard that holds a program, a call or another key. */
  async askLeader<Name extends RpcName>(
    key: string,
    name: Name,
    body: RpcSchema[Name]["request"],
  ): Promise<RpcSchema[Name]["response"]> {
    const cluster = await this.cluster();
    const shardKey = key.startsWith("prog-") ? rootOfProgram(programOfCall(key)) : key;
    const shard = this.#hash.hash32(shardKey) % cluster.shardCount;
    return this.#router.ask(shard, name, body, REQUEST_TIMEOUT_MS * 2);
  }

  /** Returns the state of the cluster as known to the node. */
  async cluster(): Promise<ClusterView> {
    const cluster = await this.ask("readCluster", {});
    if (cluster.nodes.length > 0) this.#addresses = cluster.nodes.map((node) => node.address);
    return cluster;
  }

  /** Closes the connection. */
  close(): Promise<void> {
    return this.#transport.close();
  }
}
