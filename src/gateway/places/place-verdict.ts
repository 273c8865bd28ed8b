import type { PlaceRefusal } from "../../scheduling/place-queue/index.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import type { HeldPlace } from "./held-place.ts";

/** What has become of a call's question for a place. */
export type PlaceVerdict =
  | { readonly type: "granted"; readonly runner: RunnerEntry; readonly place: HeldPlace }
  | { readonly type: "refused"; readonly retryAfterMs: number; readonly reason: PlaceRefusal }
  /** No dispatcher can be asked: this gateway chooses the runner by its own board. */
  | { readonly type: "alone" };
