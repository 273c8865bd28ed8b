/** Summarizes collected gateway logs by interval: outcomes of calls, latency of turns, and state changes. No I/O. */
import { type CallEntry, isCallEntry } from "./call-entry.ts";
import type { LogEntry } from "./log-entry.ts";

const FIRST_FAILURE_STATUS = 400;
/** HTTP statuses that guarantee that the call has not run. */
const REFUSAL_STATUSES = [402, 408, 421, 429, 503];
/** Log messages of state changes that can explain a change in the figures. */
const STATE_CHANGE_MESSAGES = [
  "gateway started",
  "stops",
  "store unreachable",
  "store reachable",
  "configuration in force",
  "peer lost",
  "runner's entry lapsed in an outage",
];

/** Median and 90th percentile of the durations of a group of calls, in ms; left undefined for an empty group. */
export interface Percentiles {
  readonly medianMs: number;
  readonly p90Ms: number;
}

/** Figures of one interval. A call is counted in the interval in which it ended. */
export interface IntervalSummary {
  /** Start of the interval, in ms since the first call of the logs ended. */
  readonly startMs: number;
  readonly answered: number;
  readonly refused: number;
  /** Calls that failed or whose answer was interrupted. */
  readonly failed: number;
  /** Duration from arrival to end of the calls that are turns of programs. */
  readonly turns: Percentiles | undefined;
  /** For turns: time until the owner of the program had responded. */
  readonly admissions: Percentiles | undefined;
  /** For turns: time from the owner's response to the first byte of the answer. */
  readonly firstBytes: Percentiles | undefined;
  /** Duration from arrival to end of all other calls. */
  readonly others: Percentiles | undefined;
  /** Number of tries after the first of each call. */
  readonly repeated: number;
  /** Number of runners that received calls. */
  readonly runners: number;
  /** Tries sent to the busiest runner, as a multiple of the mean per runner. */
  readonly busiest: number;
}

/** How often gateways logged one kind of state change in one interval. */
export interface StateChangeCount {
  readonly startMs: number;
  /** The log message of the state change. */
  readonly belief: string;
  readonly count: number;
}

/** The summary of collected logs; empty if the logs contain no call. */
export interface LogSummary {
  readonly intervals: readonly IntervalSummary[];
  readonly beliefs: readonly StateChangeCount[];
}

/**
 * Summarizes log entries.
 *
 * @param intervalMs length of an interval, in ms
 */
export function summarizeLogs(entries: readonly LogEntry[], intervalMs: number): LogSummary {
  const calls = entries.filter(isCallEntry);
  if (calls.length === 0) return { intervals: [], beliefs: [] };
  const firstMs = calls.reduce((least, call) => Math.min(least, call.time), Number.POSITIVE_INFINITY);
  const startOf = (entry: LogEntry) => Math.floor((entry.time - firstMs) / intervalMs) * intervalMs;
  const byStart = groupBy(calls, startOf);
  const starts = [...byStart.keys()].sort((left, right) => left - right);
  const intervals = starts.map((startMs) => summarize(startMs, byStart.get(startMs) ?? []));
  return { intervals, beliefs: countStateChanges(entries, startOf) };
}

function summarize(startMs: number, calls: readonly CallEntry[]): IntervalSummary {
  const turns = calls.filter((call) => call.admission !== undefined);
  const others = calls.filter((call) => call.admission === undefined);
  const refused = calls.filter(({ status }) => REFUSAL_STATUSES.includes(status)).length;
  const answered = calls.filter(({ status }) => status > 0 && status < FIRST_FAILURE_STATUS).length;
  const tries = calls.flatMap((call) => call.tries ?? []);
  const counts = [...groupBy(tries, (attempt) => attempt.runner).values()].map((group) => group.length);
  const mean = tries.length / Math.max(1, counts.length);
  return {
    startMs,
    answered,
    refused,
    failed: calls.length - answered - refused,
    turns: percentilesOf(turns.map((call) => call.elapsedMs)),
    admissions: percentilesOf(turns.map((call) => call.admission?.elapsedMs ?? 0)),
    firstBytes: percentilesOf(turns.flatMap(firstByteAfterAdmission)),
    others: percentilesOf(others.map((call) => call.elapsedMs)),
    repeated: calls.reduce((sum, call) => sum + Math.max(0, (call.tries?.length ?? 0) - 1), 0),
    runners: counts.length,
    busiest: counts.length === 0 ? 0 : Math.max(...counts) / mean,
  };
}

function firstByteAfterAdmission({ firstByteMs, admission }: CallEntry): number[] {
  return firstByteMs === undefined ? [] : [firstByteMs - (admission?.elapsedMs ?? 0)];
}

function countStateChanges(
  entries: readonly LogEntry[],
  startOf: (entry: LogEntry) => number,
): StateChangeCount[] {
  const stateChanges = entries.filter((entry) => STATE_CHANGE_MESSAGES.includes(entry.msg));
  const counts: StateChangeCount[] = [];
  for (const [startMs, group] of groupBy(stateChanges, startOf)) {
    for (const [belief, entriesOfMessage] of groupBy(group, (entry) => entry.msg)) {
      counts.push({ startMs, belief, count: entriesOfMessage.length });
    }
  }
  return counts.sort((left, right) => left.startMs - right.startMs);
}

function percentilesOf(timesMs: readonly number[]): Percentiles | undefined {
  if (timesMs.length === 0) return undefined;
  const sorted = [...timesMs].sort((left, right) => left - right);
  return { medianMs: percentile(sorted, 0.5), p90Ms: percentile(sorted, 0.9) };
}

/** Returns the smallest value that at least this fraction of the sorted values does not exceed. */
function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.ceil(sorted.length * fraction) - 1] ?? 0;
}

function groupBy<Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
