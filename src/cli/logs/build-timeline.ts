/** Builds the timeline of a request or a program from the collected logs of all gateways. No I/O. */

import { gatewayNameOf } from "../../gateway/members/instance-name.ts";
import type { AdmissionRecord } from "../../gateway/telemetry/admission-record.ts";
import type { AttemptRecord } from "../../gateway/telemetry/attempt-record.ts";
import type { RateRecord } from "../../gateway/telemetry/rate-record.ts";
import type { RetentionRecord } from "../../gateway/telemetry/retention-record.ts";
import type { TimedPlaceRecord } from "../../gateway/telemetry/timed-place-record.ts";
import { type CallEntry, isCallEntry } from "./call-entry.ts";
import type { LogEntry } from "./log-entry.ts";
import type { TimelineEntry } from "./timeline-entry.ts";

/** State changes are included from this time before the first call arrived, in ms. */
const LOOKBACK_MS = 5_000;
/** Log messages of state changes that affect a single partition. */
const PARTITION_STATE_MESSAGES = ["partition taken over", "partition released", "limits begin"];
/** Log messages of state changes that affect every call at a machine. */
const MACHINE_STATE_MESSAGES = [
  "gateway started",
  "stops",
  "stopped",
  "store unreachable",
  "store reachable",
  "configuration in force",
  "lines of calls left out",
  "unexpected error",
  "headroom changed",
];

/**
 * Returns the events of `subject`, the identifier of a request or a program, in order of time: its calls with the reasons
 * for each decision, and the state changes, shortly before and during the calls, of the machines that handled or decided
 * them. Empty if no call in the logs belongs to `subject`.
 */
export function buildTimeline(entries: readonly LogEntry[], subject: string): TimelineEntry[] {
  const calls = entries.filter(isCallEntry).filter((entry) => isCallOf(entry, subject));
  if (calls.length === 0) return [];
  const fromMs = Math.min(...calls.map((call) => call.time - call.elapsedMs)) - LOOKBACK_MS;
  const untilMs = Math.max(...calls.map((call) => call.time));
  const ownerRequests = calls.flatMap(({ admission, rate }) => [admission ?? [], rate ?? []].flat());
  const partitions = new Set(ownerRequests.map(({ partition }) => partition));
  const owners = new Set(ownerRequests.flatMap(({ owner }) => owner ?? []));
  const nodes = new Set([...calls.map(({ node }) => node), ...[...owners].map(gatewayNameOf)]);
  const stateChanges = entries.filter((entry) => {
    if (entry.time < fromMs || entry.time > untilMs) return false;
    if (PARTITION_STATE_MESSAGES.includes(entry.msg)) return partitions.has(entry.partition as number);
    if (MACHINE_STATE_MESSAGES.includes(entry.msg)) return nodes.has(entry.node);
    return entry.msg === "peer lost" && nodes.has(entry.node) && owners.has(entry.instance as string);
  });
  const timeline = [...calls.flatMap(entriesOfCall), ...stateChanges.map(entryOfStateChange)];
  return timeline.sort((left, right) => left.time - right.time);
}

function isCallOf(entry: CallEntry, subject: string): boolean {
  return entry.request === subject || entry.program === subject;
}

function entriesOfCall(call: CallEntry): TimelineEntry[] {
  const {
    node,
    request,
    route,
    configuration,
    tenant,
    rate,
    admission,
    places = [],
    retention,
    tries = [],
  } = call;
  const arrivedMs = call.time - call.elapsedMs;
  const at = (sinceMs: number, text: string): TimelineEntry => ({ time: arrivedMs + sinceMs, node, text });
  const program = call.program === undefined ? "" : ` of program ${call.program}`;
  const tenantText = tenant === undefined ? "" : ` for tenant ${tenant}`;
  const arrival = `${request}${program}${tenantText} arrives on route ${route}, configuration ${configuration}`;
  const entries = [at(0, arrival)];
  if (rate) entries.push(at(rate.atMs + rate.elapsedMs, rateText(request, rate)));
  if (admission) entries.push(at(admission.elapsedMs, admissionText(request, admission)));
  for (const place of places) entries.push(at(place.atMs + place.waitedMs, placeText(request, place)));
  for (const attempt of tries) {
    const expected = attempt.expectedMs === undefined ? "" : `, ${attempt.expectedMs} ms expected`;
    const runnerState = `${attempt.load} in flight, ${Math.round(100 * attempt.failureRate)}% failing${expected}`;
    entries.push(at(attempt.atMs, `${request} is sent to ${attempt.runner} (${runnerState})`));
    const endText = attemptEndText(request, attempt);
    if (endText !== undefined) entries.push(at(attempt.atMs + (attempt.elapsedMs ?? 0), endText));
  }
  if (call.firstByteMs !== undefined) entries.push(at(call.firstByteMs, `${request}: first byte handed on`));
  if (retention) entries.push(at(call.elapsedMs, retentionText(request, retention, call.elapsedMs)));
  const detailText = call.detail === undefined ? "" : `: ${call.detail}`;
  entries.push(
    at(
      call.elapsedMs,
      `${request} ends after ${call.elapsedMs} ms, ${call.status} ${call.kind}${detailText}`,
    ),
  );
  return entries;
}

/** How an attempt ended that gave no whole answer, or one that may be short; undefined for the others. */
function attemptEndText(request: string, attempt: AttemptRecord): string | undefined {
  const { runner, failure, framing, endDoubted, lastEvent, unfinishedBytes } = attempt;
  const eventText = lastEvent === undefined ? "" : ` behind event ${lastEvent}`;
  if (endDoubted)
    return `${request}: the answer of ${runner} ends with its connection${eventText}; another run is asked`;
  if (failure === undefined) return undefined;
  if (framing === undefined) return `${request} gets nothing from ${runner}: ${failure}`;
  const restText = unfinishedBytes === undefined ? "" : `, with ${unfinishedBytes} bytes of the next one`;
  return `${request} gets only a part from ${runner}, broken off${eventText}${restText}: ${failure}`;
}

function rateText(request: string, { partition, owner, verdict, elapsedMs }: RateRecord): string {
  const ownerName = owner ?? "an unknown gateway";
  return `${request}: the tenant's limit, partition ${partition}, owned by ${ownerName}, says ${verdict} after ${elapsedMs} ms`;
}

function admissionText(request: string, admission: AdmissionRecord): string {
  const { partition, owner, answer, previousTurn, spentTokens, elapsedMs } = admission;
  const spentText = spentTokens === undefined ? "" : `, ${spentTokens} tokens spent or promised`;
  const ownerName = owner === undefined ? "an unknown gateway" : owner;
  const previousTurnText = previousTurn === undefined ? "" : `, goes on from ${previousTurn}`;
  return `${request}${previousTurnText}: partition ${partition}, owned by ${ownerName}, says ${answer}${spentText} after ${elapsedMs} ms`;
}

function placeText(request: string, place: TimedPlaceRecord): string {
  const { verdict, reason, unasked, dispatcher, group, lease, behind, waitedMs } = place;
  const { expectedMs, holdingMs, ownDelayMs } = place;
  const expectedText = expectedMs === undefined ? "" : `, ${expectedMs} ms expected`;
  const holdingText = holdingMs === undefined ? "" : `, a place is held for ${holdingMs} ms`;
  const ownDelayText = ownDelayMs === undefined ? "" : `, the gateway itself ${ownDelayMs} ms late`;
  const aheadText = behind === undefined ? "" : `, behind tenant ${behind}`;
  const dispatcherText = dispatcher === undefined ? "" : ` by ${dispatcher} for group ${group}`;
  const leaseText = verdict === "granted" ? `, lease ${lease}` : "";
  const reasons = [reason, unasked].flatMap((ground) => ground ?? []);
  const reasonText = reasons.length === 0 ? "" : ` (${reasons.join(": ")})`;
  const outcome = verdict === "alone" ? "is placed by its gateway alone" : `is ${verdict} a place`;
  return `${request} ${outcome}${reasonText}${dispatcherText}${leaseText} after ${waitedMs} ms${expectedText}${holdingText}${ownDelayText}${aheadText}`;
}

function retentionText(
  request: string,
  { heldBy, atMs, elapsedMs }: RetentionRecord,
  callMs: number,
): string {
  const waitedMs = elapsedMs ?? callMs - atMs;
  return `${request}: the turn is held by ${heldBy}, for which the end of the answer waited ${waitedMs} ms`;
}

function entryOfStateChange({ time, node, msg, ...fields }: LogEntry): TimelineEntry {
  const { level: _level, ...rest } = fields;
  return { time, node, text: `(${msg} ${JSON.stringify(rest)})` };
}
