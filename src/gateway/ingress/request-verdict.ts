import type { CallerExchange } from "./caller-exchange.ts";
import type { ProblemResponse } from "./problem-response.ts";

/** Whether a request is accepted; decided by its head. */
export type RequestVerdict =
  /** The body is not read. */
  | { readonly type: "refuse"; readonly problem: ProblemResponse }
  /** The request is run once its body has been read. */
  | { readonly type: "accept"; readonly run: (exchange: CallerExchange) => void };
