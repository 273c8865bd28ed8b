/**
 * Looks up retained turns in the memory of the gateways. The owner of a program's partition has the program's recent
 * turns in memory, and so does the gateway that answered a turn. They are used while the store does not respond or
 * returns stale data.
 */
import type { RpcEndpoint } from "../../runtime/rpc.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { FindTurnResponse, GatewayRpcSchema } from "../gateway-messages.ts";
import type { TurnLookup } from "./turn-lookup.ts";

/** Timeout of a request to another gateway, in ms. */
const FIND_TIMEOUT_MS = 300;

/** Dependencies of a {@link TurnFinder}. */
export interface TurnFinderOptions {
  readonly context: GatewayContext;
  readonly rpc: RpcEndpoint<GatewayRpcSchema>;
  /** Returns the addresses of all other live gateways. */
  readonly peers: () => readonly string[];
  /** Looks up a turn in this gateway's own memory. */
  readonly findLocally: (turn: RequestId) => FindTurnResponse;
}

/** Asks all live gateways for a turn, and answers such requests of other gateways. */
export class TurnFinder {
  readonly #options: TurnFinderOptions;

  constructor(options: TurnFinderOptions) {
    this.#options = options;
    options.rpc.handle("findTurn", async ({ turn }) => options.findLocally(turn));
  }

  /** Looks up a turn. Resolves with `noSuchTurn` only if every gateway has answered that it does not have the turn. */
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

  /**
   * Returns the responses of the other gateways; undefined stands for one that did not respond. Resolves early when a
   * gateway has the turn.
   */
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
