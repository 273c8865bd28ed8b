import type { RunnerEntry } from "./runner-entry.ts";

/** How the start of a runner in a new entry relates to the start that is known under the same name. */
export type StartOrder =
  | "same"
  /** The runner was started again: the known start has ended. */
  | "later"
  /** The entry was written by a previous start, which has ended. */
  | "earlier"
  /** The entry has no start, while the known one had: it was not written by the runner. */
  | "unknown";

/** Compares the starts of two entries of the same name. A runner changes its version only by a start. */
export function startOrder(known: RunnerEntry, entry: RunnerEntry): StartOrder {
  if (entry.id === known.id) return entry.version === known.version ? "same" : "later";
  if (entry.startedAtMs === undefined) return "unknown";
  if (known.startedAtMs === undefined) return "later";
  return entry.startedAtMs > known.startedAtMs ? "later" : "earlier";
}
