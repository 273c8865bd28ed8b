import type { CallerExchange } from "./caller-exchange.ts";
import type { CallerProblem } from "./caller-problem.ts";

/** What the head of a request decides. */
export type HeadVerdict =
  /** Nobody reads the body. */
  | { readonly type: "refuse"; readonly problem: CallerProblem }
  /** Once the body is there, the request is carried out. */
  | { readonly type: "take"; readonly run: (exchange: CallerExchange) => void };
