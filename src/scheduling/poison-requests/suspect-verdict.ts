import type { RunnerId } from "../ids/runner-id.ts";

/** Whether a run of a suspect may begin. Each verdict names the runners that are known to have ended under it. */
export type SuspectVerdict =
  | {
      readonly type: "granted";
      readonly lost: readonly RunnerId[];
      /** Whether no further run may follow if the runner ends. */
      readonly isLast: boolean;
    }
  /** Another suspect runs at the runner; `taken` are all runners of which that holds. */
  | { readonly type: "taken"; readonly lost: readonly RunnerId[]; readonly taken: readonly RunnerId[] }
  /** Runners have just ended together. The last run is better made once no more of them end. */
  | { readonly type: "unsettled"; readonly lost: readonly RunnerId[] }
  /** Other tries of the request run. If their runners end, too, no further one may. */
  | { readonly type: "running"; readonly lost: readonly RunnerId[] }
  /** As many runners have ended under the request as may. */
  | { readonly type: "poison"; readonly lost: readonly RunnerId[] };

/** The verdicts, the one that permits most first. */
const ORDER: readonly SuspectVerdict["type"][] = ["granted", "taken", "unsettled", "running", "poison"];

/** Returns the verdict that permits least. */
export function strictestOf(verdicts: readonly SuspectVerdict[]): SuspectVerdict | undefined {
  return verdicts.reduce<SuspectVerdict | undefined>((strictest, verdict) => {
    if (strictest === undefined) return verdict;
    return ORDER.indexOf(verdict.type) > ORDER.indexOf(strictest.type) ? verdict : strictest;
  }, undefined);
}
