import type { CallerExchange } from "./caller-exchange.ts";
import type { ProblemResponse } from "./problem-response.ts";

/** What the head of a request decides. */
export type RequestVerdict =
  /** Nobody reads the body. */
  | { readonly type: "refuse"; readonly problem: ProblemResponse }
  /** Once the body is there, the request is carried out. */
  | { readonly type: "accept"; readonly run: (exchange: CallerExchange) => void };
