/** The scheduling code that does no I/O, for embedding and for simulators. */
export { type AdmissionRefusal, checkCall, checkProgram } from "./admission/check-call.ts";
export { messageTokensBound, worstCaseTokens } from "./admission/worst-case-tokens.ts";
export type { Alternative, Decision, DecisionInputs, Verdict } from "./decision/decision.ts";
export {
  type EffectivePolicy,
  isRepeatable,
  PRIORITY_CLASSES,
  type PriorityClass,
} from "./policy/effective-policy.ts";
export type { ProgramCommand } from "./program/commands.ts";
export { ProgramTable } from "./program/program-table.ts";
export type * from "./program/records.ts";
export { RunnerQueue, type RunnerQueueOptions } from "./queue/runner-queue.ts";
export { type SlotRequest, slotKey } from "./queue/slot-request.ts";
export { chooseRunner, type RunnerChoiceInput, type RunnerCosts } from "./runner-selection/choose-runner.ts";
export type { CachedPrefix, RunnerView } from "./runner-selection/runner-view.ts";
