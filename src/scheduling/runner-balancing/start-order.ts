import type { RunnerEntry } from "./runner-entry.ts";

/** How the start of a runner that an entry speaks of stands to the one that is known under its name. */
export type StartOrder =
  | "same"
  /** The known start has ended. */
  | "later"
  /** The entry was written by a start that has ended. */
  | "earlier"
  /** The entry does not tell, while the known one did: the runner has not written it. */
  | "unknown";

/** Compares the starts that two entries of one name speak of. */
export function startOrder(known: RunnerEntry, entry: RunnerEntry): StartOrder {
  if (entry.id === known.id) return "same";
  if (entry.startedAtMs === undefined) return "unknown";
  if (known.startedAtMs === undefined) return "later";
  return entry.startedAtMs > known.startedAtMs ? "later" : "earlier";
}
