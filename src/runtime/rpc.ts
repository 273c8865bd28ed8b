import {
  errorOfProblem,
  problemOfError,
  requestError,
  type TulipwheelErrorInstance,
} from "../errors/tulipwheel-error.ts";
import type {
  RpcId,
  RpcRequest,
  RpcResponse,
  RpcResult,
  RpcSchema,
  RpcSchemaShape,
} from "../messages/rpc-messages.ts";
import type { Clock, TimerHandle } from "./clock.ts";
import type { RandomSource } from "./random-source.ts";
import type { Sender, Transport } from "./transport.ts";

/**
 * Thrown by a handler when this process is not the leader, to redirect the requester to the leader if it is known.
 */
export class RedirectSignal {
  readonly leader: string | undefined;

  constructor(leader: string | undefined) {
    this.leader = leader;
  }
}

/** Handles requests of one name. */
export type RpcHandler<Name extends keyof Schema, Schema extends RpcSchemaShape<Schema> = RpcSchema> = (
  body: Schema[Name]["request"],
  from: Sender,
) => Promise<Schema[Name]["response"]>;

/** Options for sending the responses to requests of one name. */
export interface RpcResponseOptions<
  Name extends keyof Schema,
  Schema extends RpcSchemaShape<Schema> = RpcSchema,
> {
  /** How long a successful response may be delayed to be sent together with other messages, in ms. */
  readonly maxDelayMs: (body: Schema[Name]["request"]) => number;
}

/** The outcome of one request to one process. */
export type RpcReply<Name extends keyof Schema, Schema extends RpcSchemaShape<Schema> = RpcSchema> =
  | { readonly type: "done"; readonly body: Schema[Name]["response"] }
  | { readonly type: "redirect"; readonly leader: string | undefined }
  | { readonly type: "problem"; readonly error: TulipwheelErrorInstance }
  | { readonly type: "timeout" };

interface PendingRequest<Schema extends RpcSchemaShape<Schema>> {
  readonly address: string;
  readonly resolve: (result: RpcResult<Schema> | undefined) => void;
  readonly timer: TimerHandle;
}

/** The first request identifier of a process is below this limit; identifiers increase by one. */
const INITIAL_ID_LIMIT = 2 ** 31;

type RpcTransport<Schema extends RpcSchemaShape<Schema>> = Pick<
  Transport<RpcRequest<Schema> | RpcResponse<Schema>>,
  "send"
>;

/**
 * Sends requests and responses over a {@link Transport}. Each request is one attempt at one process, with a time-out.
 * `Schema` lists the requests and their responses.
 */
export class RpcEndpoint<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly #transport: RpcTransport<Schema>;
  readonly #clock: Clock;
  readonly #handlers = new Map<keyof Schema, RpcHandler<keyof Schema, Schema>>();
  readonly #responseOptions = new Map<keyof Schema, RpcResponseOptions<keyof Schema, Schema>>();
  readonly #pending = new Map<RpcId, PendingRequest<Schema>>();
  /**
   * Starts at a random number, so that a response to an earlier process at this address matches no request of this
   * one.
   */
  #lastId: number;

  constructor(transport: RpcTransport<Schema>, clock: Clock, random: RandomSource) {
    this.#transport = transport;
    this.#clock = clock;
    this.#lastId = random.below(INITIAL_ID_LIMIT);
  }

  /** Sets the handler of requests of one name. Responses are sent at once unless `responseOptions` allow a delay. */
  handle<Name extends keyof Schema>(
    name: Name,
    handler: RpcHandler<Name, Schema>,
    responseOptions?: RpcResponseOptions<Name, Schema>,
  ): void {
    this.#handlers.set(name, handler as unknown as RpcHandler<keyof Schema, Schema>);
    if (responseOptions)
      this.#responseOptions.set(name, responseOptions as unknown as RpcResponseOptions<keyof Schema, Schema>);
  }

  /** Sends one request to one process and waits for the response or the time-out. */
  async ask<Name extends keyof Schema>(
    address: string,
    name: Name,
    body: Schema[Name]["request"],
    timeoutMs: number,
  ): Promise<RpcReply<Name, Schema>> {
    this.#lastId += 1;
    const id = this.#lastId;
    const result = await new Promise<RpcResult<Schema> | undefined>((resolve) => {
      const timer = this.#clock.schedule(timeoutMs, () => this.#settle(id, undefined));
      this.#pending.set(id, { address, resolve, timer });
      this.#transport.send(address, { type: "rpcRequest", id, name, body });
    });
    if (!result) return { type: "timeout" };
    if (result.type === "problem") return { type: "problem", error: errorOfProblem(result.problem) };
    return result as RpcReply<Name, Schema>;
  }

  /** Handles a request from another process. */
  async onRequest(request: RpcRequest<Schema>, from: Sender): Promise<void> {
    const result = await this.#answer(request, from);
    const responseOptions = result.type === "done" ? this.#responseOptions.get(request.name) : undefined;
    const maxDelayMs = responseOptions?.maxDelayMs(request.body) ?? 0;
    this.#transport.send(from.address, { type: "rpcResponse", id: request.id, result }, maxDelayMs);
  }

  /** Handles a response. A response that arrives after the time-out is ignored. */
  onResponse(response: RpcResponse<Schema>): void {
    this.#settle(response.id, response.result);
  }

  /**
   * Ends the pending requests to an address as timed out. Called when its connection has ended, because no response can
   * arrive any more.
   */
  failPending(address: string): void {
    for (const [id, pending] of [...this.#pending]) {
      if (pending.address === address) this.#settle(id, undefined);
    }
  }

  async #answer(request: RpcRequest<Schema>, from: Sender): Promise<RpcResult<Schema>> {
    try {
      const handler = this.#handlers.get(request.name);
      if (!handler) throw requestError("not-found", `This process does not answer ${String(request.name)}.`);
      return { type: "done", body: await handler(request.body, from) };
    } catch (error) {
      if (error instanceof RedirectSignal) return { type: "redirect", leader: error.leader };
      return { type: "problem", problem: problemOfError(error) };
    }
  }

  #settle(id: RpcId, result: RpcResult<Schema> | undefined): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    this.#clock.cancel(pending.timer);
    pending.resolve(result);
  }
}
