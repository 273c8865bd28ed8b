/**
 * In which order turns that wait at a runner go on. Only a program as a whole counts, and it is worth most if it ends in
 * time. So turns of programs that can still end in time come before those that cannot; among the former, the less time
 * is left the sooner. Classes of time double from one to the next, since runners know only ten.
 */
import type { Urgency } from "./urgency.ts";

/** What is known of a turn. */
export interface TurnTiming {
  /** Time until the program should be over, in ms; negative once it is late. */
  readonly timeLeftMs: number;
  /** Time within which the operators want the first piece of an answer, in ms: the measure of short and long here. */
  readonly targetLatencyMs: number;
}

/** Of the programs that can still end in time, those with the least time left. */
const MOST_URGENT: Urgency = 1;
const LEAST_URGENT_IN_TIME: Urgency = 7;
/** Programs that are late: worth less, and nothing once they are very late. */
const LATE: Urgency = 8;
/** The shortest class ends at this many times the target for a first piece. */
const MOST_URGENT_TARGET_RATIO = 2.5;

/** See the module's comment. */
export function turnUrgency({ timeLeftMs, targetLatencyMs }: TurnTiming): Urgency {
  if (timeLeftMs <= 0) return LATE;
  const doublings = Math.log2(timeLeftMs / (targetLatencyMs * MOST_URGENT_TARGET_RATIO));
  return Math.min(LEAST_URGENT_IN_TIME, MOST_URGENT + Math.max(0, Math.ceil(doublings)));
}
