import {
  errorOfProblem,
  problemOfError,
  requestError,
  type TulipwheelErrorInstance,
} from "../errors/tulipwheel-error.ts";
import type { RpcName, RpcRequest, RpcResponse, RpcResult, RpcSchema } from "../messages/rpc-messages.ts";
import type { Clock, TimerHandle } from "./clock.ts";
import type { RandomSource } from "./random-source.ts";
import type { Sender, Transport } from "./transport.ts";

/** Thrown by a handler that is not the leader. */
export class RedirectSignal {
  readonly leader: string | undefined;

  constructor(leader: string | undefined) {
    this.leader = leader;
  }
}

/** Answers one kind of request. */
export type RpcHandler<Name extends RpcName> = (
  body: RpcSchema[Name]["request"],
  from: Sender,
) => Promise<RpcSchema[Name]["response"]>;

/** The outcome of one request to one process. */
export type RpcReply<Name extends RpcName> =
  | { readonly type: "done"; readonly body: RpcSchema[Name]["response"] }
  | { readonly type: "redirect"; readonly leader: string | undefined }
  | { readonly type: "problem"; readonly error: TulipwheelErrorInstance }
  | { readonly type: "timeout" };

interface PendingRequest {
  readonly resolve: (result: RpcResult | undefined) => void;
  readonly timer: TimerHandle;
}

const REQUEST_ID_LENGTH = 12;

/** Requests and responses over a {@link Transport}: one try to one process, with a time-out. */
export class RpcEndpoint {
  readonly #transport: Transport;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #handlers = new Map<RpcName, RpcHandler<RpcName>>();
  readonly #pending = new Map<string, PendingRequest>();

  constructor(transport: Transport, clock: Clock, random: RandomSource) {
    this.#transport = transport;
    this.#clock = clock;
    this.#random = random;
  }

  /** Sets who answers a kind of request. */
  handle<Name extends RpcName>(name: Name, handler: RpcHandler<Name>): void {
    this.#handlers.set(name, handler as unknown as RpcHandler<RpcName>);
  }

  /** Asks one process once. */
  async ask<Name extends RpcName>(
    address: string,
    name: Name,
    body: RpcSchema[Name]["request"],
    timeoutMs: number,
  ): Promise<RpcReply<Name>> {
    const id = this.#random.token(REQUEST_ID_LENGTH);
    const result = await new Promise<RpcResult | undefined>((resolve) => {
      const timer = this.#clock.schedule(timeoutMs, () => this.#settle(id, undefined));
      this.#pending.set(id, { resolve, timer });
      this.#transport.send(address, { type: "rpcRequest", id, name, body });
    });
    if (!result) return { type: "timeout" };
    if (result.type === "problem") return { type: "problem", error: errorOfProblem(result.problem) };
    return result as RpcReply<Name>;
  }

  /** Takes in a request from another process. */
  async onRequest(request: RpcRequest, from: Sender): Promise<void> {
    const result = await this.#answer(request, from);
    this.#transport.send(from.address, { type: "rpcResponse", id: request.id, result });
  }

  /** Takes in a response; one that comes late is passed over. */
  onResponse(response: RpcResponse): void {
    this.#settle(response.id, response.result);
  }

  async #answer(request: RpcRequest, from: Sender): Promise<RpcResult> {
    try {
      const handler = this.#handlers.get(request.name);
      if (!handler) throw requestError("not-found", `This process does not answer ${request.name}.`);
      return { type: "done", body: await handler(request.body, from) };
    } catch (error) {
      if (error instanceof RedirectSignal) return { type: "redirect", leader: error.leader };
      return { type: "problem", problem: problemOfError(error) };
    }
  }

  #settle(id: string, result: RpcResult | undefined): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    this.#clock.cancel(pending.timer);
    pending.resolve(result);
  }
}
