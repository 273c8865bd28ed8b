import type { RetainedTurnContent } from "../gateway-messages.ts";

/** Result of looking up a retained turn. */
export type TurnLookup =
  | { readonly type: "found"; readonly content: RetainedTurnContent }
  | { readonly type: "noSuchTurn" }
  /** It is not known whether the turn exists, because not all places where it may be could be read. */
  | { readonly type: "unavailable"; readonly detail: string };
