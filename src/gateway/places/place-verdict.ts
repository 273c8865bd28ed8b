import type { PlaceRefusalReason } from "../../scheduling/place-queue/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { HeldPlace } from "./held-place.ts";

/** The outcome of a call's request for a place. */
export type PlaceVerdict =
  | { readonly type: "granted"; readonly runner: RunnerEntry; readonly place: HeldPlace }
  | { readonly type: "refused"; readonly retryAfterMs: number; readonly reason: PlaceRefusalReason }
  /** No dispatcher can be asked: this gateway chooses the runner from its own runner board. */
  | { readonly type: "alone" };
