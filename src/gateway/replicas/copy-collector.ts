/** Gets the copies of a partition's records from the replicas of its earlier owners, for a new owner. */
import { majorityOf } from "../../coordination/fenced-copies/index.ts";
import { delay } from "../../runtime/clock.ts";
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayRpcSchema } from "../gateway-messages.ts";
import type { RecordCopy } from "./record-copy.ts";
import type { Replica } from "./replica.ts";
import type { SealCopiesRequest } from "./replica-messages.ts";

/** Longest wait for one answer of a replica, in ms. */
const SEAL_TIMEOUT_MS = 300;
/** Pause before a replica that gave no answer is asked again, in ms. */
const RETRY_MS = 50;

/** What was found. */
export type CollectedCopies =
  | {
      readonly type: "collected";
      readonly copies: readonly RecordCopy[];
      /** Whether a majority of each group was sealed: nothing that an earlier owner acted on is missing. */
      readonly complete: boolean;
      /** Whether every replica that gave nothing is known to have ended, so that no earlier owner can use it. */
      readonly othersGone: boolean;
    }
  /** A newer owner was there first. */
  | { readonly type: "fenced" };

type Answer = "gone" | "silent" | "fenced" | readonly RecordCopy[];

/** See the module's comment. */
export class CopyCollector {
  readonly #context: GatewayContext;
  readonly #rpc: RpcEndpoint<GatewayRpcSchema>;
  readonly #refuses: (address: string) => boolean;

  /** @param refuses whether connections to an address were refused lately: nothing runs there */
  constructor(
    context: GatewayContext,
    rpc: RpcEndpoint<GatewayRpcSchema>,
    refuses: (address: string) => boolean,
  ) {
    this.#context = context;
    this.#rpc = rpc;
    this.#refuses = refuses;
  }

  /**
   * Seals the replicas of earlier owners. Those that give no answer are asked again for a while.
   *
   * @param withoutStore whether the partition is taken over without the store: mirrored accounts count as copies then
   */
  async collect(
    partition: number,
    epoch: number,
    groups: readonly (readonly Replica[])[],
    withoutStore = false,
  ): Promise<CollectedCopies> {
    const replicas = new Map(groups.flat().map((replica) => [replica.instance, replica]));
    const untilMs = this.#context.clock.monotonicMs() + this.#context.settings.replication.sealWaitMs;
    const { instance } = this.#context;
    const answers = new Map<string, Answer>();
    const isComplete = () => groups.every((group) => isSealed(group, answers));
    const isOver = () => isComplete() || this.#context.clock.monotonicMs() >= untilMs;
    await new Promise<void>((resolve) => {
      if (isComplete()) resolve();
      for (const replica of replicas.values()) {
        const request = { partition, epoch, owner: instance, replica: replica.instance, withoutStore };
        void this.#seal(replica, request, isOver).then((answer) => {
          answers.set(replica.instance, answer);
          if (isComplete() || answers.size === replicas.size) resolve();
        });
      }
    });
    const found = [...answers.values()];
    if (found.includes("fenced")) return { type: "fenced" };
    const copies = found.flatMap((answer) => (typeof answer === "string" ? [] : answer));
    const othersGone = !found.includes("silent");
    return { type: "collected", copies, complete: isComplete(), othersGone };
  }

  async #seal(replica: Replica, request: SealCopiesRequest, isOver: () => boolean): Promise<Answer> {
    for (;;) {
      const reply = await this.#rpc.ask(replica.address, "sealCopies", request, SEAL_TIMEOUT_MS);
      if (reply.type === "done") {
        if (reply.body.type === "sealed") return reply.body.copies;
        return reply.body.type === "fenced" ? "fenced" : "gone";
      }
      if (this.#refuses(replica.address)) return "gone";
      if (isOver()) return "silent";
      await delay(this.#context.clock, RETRY_MS);
    }
  }
}

function isSealed(group: readonly Replica[], answers: ReadonlyMap<string, Answer>): boolean {
  if (group.length === 0) return true;
  const sealed = group.filter(({ instance }) => {
    const answer = answers.get(instance);
    return answer !== undefined && typeof answer !== "string";
  });
  return sealed.length >= majorityOf(group.length);
}
