/**
 * The order in which runners serve waiting turns. Only whole programs matter, and they are worth most if they finish in
 * time. So turns of programs that can still finish in time come before those of late programs; among the former, the
 * least time left comes first. Each class covers twice the time of the one before, since runners know only ten classes.
 */
import type { Urgency } from "./urgency.ts";

/** The times on which the urgency of a turn depends. */
export interface TurnTiming {
  /** Time until the program should be finished, in ms; negative once it is late. */
  readonly timeLeftMs: number;
  /** Target time for the first piece of an answer, in ms, set by the operators. The classes are multiples of it. */
  readonly targetLatencyMs: number;
}

/** Turns of programs that can still finish in time, with the least time left. */
const MOST_URGENT: Urgency = 1;
/** Turns of programs that can still finish in time, with the most time left. */
const LEAST_URGENT_IN_TIME: Urgency = 7;
/** Turns of late programs: they are worth less, and nothing once they are very late. */
const LATE: Urgency = 8;
/** Upper limit of the most urgent class, as a multiple of the target latency. */
const MOST_URGENT_TARGET_RATIO = 2.5;

/** The urgency class of a turn. */
export function turnUrgency({ timeLeftMs, targetLatencyMs }: TurnTiming): Urgency {
  if (timeLeftMs <= 0) return LATE;
  const doublings = Math.log2(timeLeftMs / (targetLatencyMs * MOST_URGENT_TARGET_RATIO));
  return Math.min(LEAST_URGENT_IN_TIME, MOST_URGENT + Math.max(0, Math.ceil(doublings)));
}
