/** A turn of a program, as the owner of the program's partition is asked about it and told of it. */
import type { CallContext } from "../../ports/call-protocol.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { Route } from "../../scheduling/routing/routing-configuration.ts";
import type { Tenant } from "../../scheduling/routing/tenant.ts";
import type { AdmitTurnRequest, EndTurnRequest, RetainedTurnContent } from "../gateway-messages.ts";
import type { PartitionClient } from "../partitions/partition-client.ts";

export class ProgramTurn {
  readonly #call: CallContext;
  readonly #route: Route;
  readonly #tenant: Tenant | undefined;
  readonly #partitions: PartitionClient;

  constructor(call: CallContext, route: Route, tenant: Tenant | undefined, partitions: PartitionClient) {
    this.#call = call;
    this.#route = route;
    this.#tenant = tenant;
    this.#partitions = partitions;
  }

  /** Whether the owner of the program's partition has to admit the turn. */
  get requiresAdmission(): boolean {
    const { program } = this.#call;
    return program !== undefined && (program.tokenBudget !== undefined || this.#route.retainsTurns);
  }

  /** The request for admission. */
  admitRequest(): AdmitTurnRequest {
    const { program, requestId } = this.#call;
    const history = { previousTurn: program?.previousTurn, tenant: this.#tenant?.name };
    return {
      ...this.#programFields,
      turn: requestId,
      budget: this.#budget,
      history: this.#route.retainsTurns ? history : undefined,
    };
  }

  /**
   * The report of the turn's end.
   *
   * @param tokens tokens that were sent to the caller
   * @param runner the last runner that ran the turn
   */
  endRequest(tokens: number, runner: RunnerId | undefined): EndTurnRequest {
    const { requestId } = this.#call;
    return {
      ...this.#programFields,
      turn: requestId,
      budget: this.#budget,
      tokens,
      runner,
      retained: undefined,
    };
  }

  /** What is retained of the turn. */
  content(input: Buffer, output: Buffer, tokens: number): RetainedTurnContent {
    return {
      previousTurn: this.#call.program?.previousTurn,
      tenant: this.#tenant?.name,
      input,
      output,
      ...(this.#budget ? { tokens } : {}),
    };
  }

  get #programFields() {
    const { program } = this.#call;
    const id = program?.id ?? ("" as ProgramId);
    return { partition: this.#partitions.partitionOf(id), program: id, session: program?.session };
  }

  get #budget(): { tokens: number; most: number } | undefined {
    const tokens = this.#call.program?.tokenBudget;
    const most = this.#call.maxGeneratedTokens;
    return tokens === undefined || most === undefined ? undefined : { tokens, most };
  }
}
