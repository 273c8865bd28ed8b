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

/** Thrown by a handler that is not the leader. */
export class RedirectSignal {
  readonly leader: string | undefined;

  constructor(leader: string | undefined) {
    this.leader = leader;
  }
}

/** Answers one kind of request. */
export type RpcHandler<Name extends keyof Schema, Schema extends RpcSchemaShape<Schema> = RpcSchema> = (
  body: Schema[Name]["request"],
  from: Sender,
) => Promise<Schema[Name]["response"]>;

/** How the answers to one kind of request travel. */
export interface RpcResponseOptions<
  Name extends keyof Schema,
  Schema extends RpcSchemaShape<Schema> = RpcSchema,
> {
  /** How long the answer to a request that is done may wait for other messages to travel with, in ms. */
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

/** Identifiers of requests begin below it, and count up. */
const INITIAL_ID_LIMIT = 2 ** 31;

type RpcTransport<Schema extends RpcSchemaShape<Schema>> = Pick<
  Transport<RpcRequest<Schema> | RpcResponse<Schema>>,
  "send"
>;

/**
 * Requests and responses over a {@link Transport}: one try to one process, with a time-out. `Schema` lists the
 * requests and their responses.
 */
export class RpcEndpoint<Schema extends RpcSchemaShape<Schema> = RpcSchema> {
  readonly #transport: RpcTransport<Schema>;
  readonly #clock: Clock;
  readonly #handlers = new Map<keyof Schema, RpcHandler<keyof Schema, Schema>>();
  readonly #responseOptions = new Map<keyof Schema, RpcResponseOptions<keyof Schema, Schema>>();
  readonly #pending = new Map<RpcId, PendingRequest<Schema>>();
  /** Begins at random: an answer to an earlier process at this address must not be taken for one to this. */
  #lastId: number;

  constructor(transport: RpcTransport<Schema>, clock: Clock, random: RandomSource) {
    this.#transport = transport;
    this.#clock = clock;
    this.#lastId = random.below(INITIAL_ID_LIMIT);
  }

  /** Sets who answers a kind of request; at once, unless `answering` says otherwise. */
  handle<Name extends keyof Schema>(
    name: Name,
    handler: RpcHandler<Name, Schema>,
    responseOptions?: RpcResponseOptions<Name, Schema>,
  ): void {
    this.#handlers.set(name, handler as unknown as RpcHandler<keyof Schema, Schema>);
    if (responseOptions)
      this.#responseOptions.set(name, responseOptions as unknown as RpcResponseOptions<keyof Schema, Schema>);
  }

  /** Asks one process once. */
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

  /** Takes in a request from another process. */
  async onRequest(request: RpcRequest<Schema>, from: Sender): Promise<void> {
    const result = await this.#answer(request, from);
    const responseOptions = result.type === "done" ? this.#responseOptions.get(request.name) : undefined;
    const maxDelayMs = responseOptions?.maxDelayMs(request.body) ?? 0;
    this.#transport.send(from.address, { type: "rpcResponse", id: request.id, result }, maxDelayMs);
  }

  /** Takes in a response; one that comes late is passed over. */
  onResponse(response: RpcResponse<Schema>): void {
    this.#settle(response.id, response.result);
  }

  /** Gives up what was asked of an address whose connection has ended: no answer can come any more. */
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
