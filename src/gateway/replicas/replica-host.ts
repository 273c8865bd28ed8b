/** Holds copies in memory for the owners of partitions, and gives them to new owners. */
import { FencedCopies } from "../../coordination/fenced-copies/index.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema, RetainedTurnContent } from "../gateway-messages.ts";
import { AccountMirror } from "./account-mirror.ts";
import { copyKey } from "./copy-key.ts";
import type { RecordCopy } from "./record-copy.ts";
import type {
  AppendCopiesRequest,
  AppendCopiesResponse,
  MirrorAccountsRequest,
  MirrorAccountsResponse,
  SealCopiesRequest,
  SealCopiesResponse,
} from "./replica-messages.ts";

const BYTES_PER_MEGABYTE = 1024 * 1024;
/** What a copy takes beside the text of its turn, in bytes, roughly. */
const COPY_OVERHEAD_BYTES = 200;

/** See the module's comment. */
export class ReplicaHost {
  readonly #context: GatewayContext;
  readonly #held: FencedCopies<RecordCopy>;
  readonly #isAlive: (instance: string) => boolean;
  readonly #mirrors = new Map<number, AccountMirror>();

  /** @param isAlive whether a process is heard here */
  constructor(
    context: GatewayContext,
    rpc: RpcEndpoint<GatewayRpcSchema>,
    isAlive: (instance: string) => boolean,
  ) {
    this.#isAlive = isAlive;
    this.#context = context;
    this.#held = new FencedCopies(context.settings.replication.maxMegabytes * BYTES_PER_MEGABYTE);
    rpc.handle("mirrorAccounts", async (request) => this.#mirror(request));
    rpc.handle("appendCopies", async (request) => this.#append(request));
    rpc.handle("sealCopies", async (request) => this.#seal(request));
    rpc.handle("dropCopies", async ({ partition, epoch, through }) => {
      this.#held.drop(partition, epoch, through);
      return { type: "dropped" };
    });
  }

  /** The partitions of which this gateway is a replica. */
  get mirrors(): Iterable<AccountMirror> {
    return this.#mirrors.values();
  }

  /** Epoch of the newest owner of a partition that is known here. */
  epochOf(partition: number): number {
    return this.#held.epochOf(partition);
  }

  /** A turn of which a copy is held here. */
  turn(turn: RequestId): RetainedTurnContent | undefined {
    const copy = this.#held.find(copyKey("turn", turn));
    return copy?.type === "turn" ? copy.content : undefined;
  }

  #mirror(request: MirrorAccountsRequest): MirrorAccountsResponse {
    const { partition, owner, replica, groups } = request;
    const { clock, instance } = this.#context;
    if (replica !== instance) return { type: "notMeant" };
    if (!this.#held.admit(partition, request)) return { type: "fenced" };
    if (!groups.flat().some((member) => member.instance === instance)) {
      this.#mirrors.delete(partition);
      return { type: "kept" };
    }
    const mirror = this.#mirrors.get(partition) ?? new AccountMirror(partition, owner);
    mirror.update(request, clock.monotonicMs());
    this.#mirrors.set(partition, mirror);
    return { type: "kept" };
  }

  #append(request: AppendCopiesRequest): AppendCopiesResponse {
    const { partition, replica, append, copies } = request;
    if (replica !== this.#context.instance) return { type: "notMeant" };
    const appended = copies.map((copy) => ({ key: keyOf(copy), bytes: bytesOf(copy), copy }));
    return { type: this.#held.append(partition, request, append, appended) };
  }

  #seal(request: SealCopiesRequest): SealCopiesResponse {
    const { partition, owner, replica, withoutStore } = request;
    const mirror = this.#mirrors.get(partition);
    if (replica !== this.#context.instance || (withoutStore && !mirror)) return { type: "notMeant" };
    if (withoutStore && mirror && mirror.owner !== owner && this.#isAlive(mirror.owner))
      return { type: "fenced" };
    const copies = this.#held.seal(partition, request);
    if (!copies) return { type: "fenced" };
    // The new owner has new replicas; this gateway is one of them only when the owner says so.
    if (!withoutStore) this.#mirrors.delete(partition);
    const mirrored = withoutStore && mirror ? mirror.accounts : [];
    const accounts = mirrored.map(([program, row]) => ({ type: "account", program, row }) as const);
    return { type: "sealed", copies: [...copies, ...accounts] };
  }
}

function keyOf(copy: RecordCopy): string {
  return copy.type === "turn" ? copyKey("turn", copy.turn) : copyKey("account", copy.program);
}

function bytesOf(copy: RecordCopy): number {
  if (copy.type === "account") return COPY_OVERHEAD_BYTES;
  return COPY_OVERHEAD_BYTES + copy.content.input.length + copy.content.output.length;
}
