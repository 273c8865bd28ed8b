/** Sums collected logs of gateways up by intervals: how calls fared, and where turns lost their time. Pure. */
import { type CallEntry, isCallEntry } from "./call-entry.ts";
import type { LogEntry } from "./log-entry.ts";

const FIRST_FAILURE_STATUS = 400;
/** Statuses that promise that the call has not run. */
const REFUSAL_STATUSES = [402, 408, 421, 429, 503];
/** Messages of beliefs that explain a change in the figures. */
const STATE_CHANGE_MESSAGES = [
  "gateway started",
  "stops",
  "store unreachable",
  "store reachable",
  "configuration in force",
  "peer lost",
  "runner's entry lapsed in an outage",
];

/** Times in ms that half and nine tenths of some calls took at most; undefined when there were none. */
export interface Percentiles {
  readonly medianMs: number;
  readonly p90Ms: number;
}

/** What happened in one interval. Calls count where they ended. */
export interface IntervalSummary {
  /** Since the beginning of the logs. */
  readonly startMs: number;
  readonly answered: number;
  readonly refused: number;
  /** Calls that failed, or whose answer was broken off. */
  readonly failed: number;
  /** Whole time of calls of programs' turns. */
  readonly turns: Percentiles | undefined;
  /** Of these, the time until the owner of the program had answered. */
  readonly admissions: Percentiles | undefined;
  /** Of these, the time from there to the first byte. */
  readonly firstBytes: Percentiles | undefined;
  /** Whole time of all other calls. */
  readonly others: Percentiles | undefined;
  /** Tries beyond the first. */
  readonly repeated: number;
  /** Runners that got calls. */
  readonly runners: number;
  /** What the busiest of them got, as a multiple of the mean. */
  readonly busiest: number;
}

/** What gateways came to believe, how often in one interval. */
export interface StateChangeCount {
  readonly startMs: number;
  readonly belief: string;
  readonly count: number;
}

/** See the module's comment. */
export interface LogSummary {
  readonly intervals: readonly IntervalSummary[];
  readonly beliefs: readonly StateChangeCount[];
}

/** @param intervalMs length of an interval, in ms */
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

/** The least time that at least this part of the calls did not exceed. */
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
