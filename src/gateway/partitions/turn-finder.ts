/**
 * Looks for retained turns in the memory of the gateways: the owner of a program's partition has the last ones, and so
 * has the gateway that answered a turn. They serve while the store does not answer, or answers with an older state.
 */
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { FindTurnResponse, GatewayRpcSchema } from "../gateway-messages.ts";
import type { TurnLookup } from "./turn-lookup.ts";

/** Longest wait for a gateway's answer, in ms. */
const FIND_TIMEOUT_MS = 300;

/** What the finder needs to know of the gateways. */
export interface TurnFinderOptions {
  readonly context: GatewayContext;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  /** Addresses of all other gateways that are alive. */
  readonly peers: () => readonly string[];
  /** What this gateway itself holds. */
  readonly findLocally: (turn: RequestId) => FindTurnResponse;
}

/** See the module's comment. */
export class TurnFinder {
  readonly #options: TurnFinderOptions;

  constructor(options: TurnFinderOptions) {
    this.#options = options;
    options.rpc.handle("findTurn", async ({ turn }) => options.findLocally(turn));
  }

  /** Finds a turn; `noSuchTurn` only when every gateway has denied it. */
  async find(turn: RequestId): Promise<TurnLookup> {
    const { findLocally, peers } = this.#options;
    const here = findLocally(turn);
    if (here.type === "found") return here;
    const answers = await this.#askPeers(turn, peers());
    const found = answers.find((answer) => answer?.type === "found");
    if (found?.type === "found") return found;
    if (answers.every((answer) => answer?.type === "absent")) return { type: "noSuchTurn" };
    return { type: "unavailable", detail: "the turn may be at a gateway that gave no answer" };
  }

  /** The answers of the others; undefined for one that gave none. Ends with the first that has the turn. */
  #askPeers(turn: RequestId, peers: readonly string[]): Promise<readonly (FindTurnResponse | undefined)[]> {
    return new Promise((resolve) => {
      const answers: (FindTurnResponse | undefined)[] = [];
      if (peers.length === 0) resolve(answers);
      for (const address of peers) {
        void this.#options.rpc.ask(address, "findTurn", { turn }, FIND_TIMEOUT_MS).then((reply) => {
          const answer = reply.type === "done" ? reply.body : undefined;
          answers.push(answer);
          if (answer?.type === "found" || answers.length === peers.length) resolve(answers);
        });
      }
    });
  }
}
