/** Puts the story of a request or a program together from the collected logs of all gateways. Pure. */

import { gatewayNameOf } from "../../gateway/members/instance-name.ts";
import type { AdmissionRecord } from "../../gateway/telemetry/admission-record.ts";
import type { RateRecord } from "../../gateway/telemetry/rate-record.ts";
import type { RetentionRecord } from "../../gateway/telemetry/retention-record.ts";
import type { TimedPlaceRecord } from "../../gateway/telemetry/timed-place-record.ts";
import { type CallEntry, isCallEntry } from "./call-entry.ts";
import type { LogEntry } from "./log-entry.ts";
import type { StoryLine } from "./story-line.ts";

/** How long before the first call beliefs matter, in ms. */
const BEFORE_MS = 5_000;
/** Messages of beliefs about a partition. */
const OF_PARTITION = ["partition taken over", "partition released", "limits begin"];
/** Messages of beliefs that touch every call of a machine. */
const OF_MACHINE = [
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
 * The story of `subject`, a request's or a program's identifier, in order: its calls with the grounds of each decision,
 * and what the machines that decided came to believe shortly before or meanwhile. Empty when no line names it.
 */
export function tellStory(entries: readonly LogEntry[], subject: string): StoryLine[] {
  const calls = entries.filter(isCallEntry).filter((entry) => isCallOf(entry, subject));
  if (calls.length === 0) return [];
  const fromMs = Math.min(...calls.map((call) => call.time - call.elapsedMs)) - BEFORE_MS;
  const untilMs = Math.max(...calls.map((call) => call.time));
  const asked = calls.flatMap(({ admission, rate }) => [admission ?? [], rate ?? []].flat());
  const partitions = new Set(asked.map(({ partition }) => partition));
  const owners = new Set(asked.flatMap(({ owner }) => owner ?? []));
  const nodes = new Set([...calls.map(({ node }) => node), ...[...owners].map(gatewayNameOf)]);
  const beliefs = entries.filter((entry) => {
    if (entry.time < fromMs || entry.time > untilMs) return false;
    if (OF_PARTITION.includes(entry.msg)) return partitions.has(entry.partition as number);
    if (OF_MACHINE.includes(entry.msg)) return nodes.has(entry.node);
    return entry.msg === "peer lost" && nodes.has(entry.node) && owners.has(entry.instance as string);
  });
  const lines = [...calls.flatMap(linesOfCall), ...beliefs.map(lineOfBelief)];
  return lines.sort((left, right) => left.time - right.time);
}

function isCallOf(entry: CallEntry, subject: string): boolean {
  return entry.request === subject || entry.program === subject;
}

function linesOfCall(call: CallEntry): StoryLine[] {
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
  const at = (sinceMs: number, text: string): StoryLine => ({ time: arrivedMs + sinceMs, node, text });
  const program = call.program === undefined ? "" : ` of program ${call.program}`;
  const whose = tenant === undefined ? "" : ` for tenant ${tenant}`;
  const arrival = `${request}${program}${whose} arrives on route ${route}, configuration ${configuration}`;
  const lines = [at(0, arrival)];
  if (rate) lines.push(at(rate.atMs + rate.elapsedMs, rateText(request, rate)));
  if (admission) lines.push(at(admission.elapsedMs, admissionText(request, admission)));
  for (const place of places) lines.push(at(place.atMs + place.waitedMs, placeText(request, place)));
  for (const one of tries) {
    const expected = one.expectedMs === undefined ? "" : `, ${one.expectedMs} ms expected`;
    const grounds = `${one.load} in flight, ${Math.round(100 * one.failureRate)}% failing${expected}`;
    lines.push(at(one.atMs, `${request} is sent to ${one.runner} (${grounds})`));
    if (one.failure !== undefined)
      lines.push(
        at(one.atMs + (one.elapsedMs ?? 0), `${request} gets nothing from ${one.runner}: ${one.failure}`),
      );
  }
  if (call.firstByteMs !== undefined) lines.push(at(call.firstByteMs, `${request}: first byte handed on`));
  if (retention) lines.push(at(call.elapsedMs, retentionText(request, retention, call.elapsedMs)));
  const why = call.detail === undefined ? "" : `: ${call.detail}`;
  lines.push(
    at(call.elapsedMs, `${request} ends after ${call.elapsedMs} ms, ${call.status} ${call.kind}${why}`),
  );
  return lines;
}

function rateText(request: string, { partition, owner, verdict, elapsedMs }: RateRecord): string {
  const whose = owner ?? "nobody that is known";
  return `${request}: the tenant's limit, partition ${partition}, owned by ${whose}, says ${verdict} after ${elapsedMs} ms`;
}

function admissionText(request: string, admission: AdmissionRecord): string {
  const { partition, owner, answer, previousTurn, spentTokens, elapsedMs } = admission;
  const spent = spentTokens === undefined ? "" : `, ${spentTokens} tokens spent or promised`;
  const whose = owner === undefined ? "nobody that is known" : owner;
  const before = previousTurn === undefined ? "" : `, goes on from ${previousTurn}`;
  return `${request}${before}: partition ${partition}, owned by ${whose}, says ${answer}${spent} after ${elapsedMs} ms`;
}

function placeText(request: string, place: TimedPlaceRecord): string {
  const { verdict, reason, unasked, dispatcher, group, lease, behind, waitedMs } = place;
  const { expectedMs, holdingMs, ownDelayMs } = place;
  const forecast = expectedMs === undefined ? "" : `, ${expectedMs} ms expected`;
  const holding = holdingMs === undefined ? "" : `, a place is held for ${holdingMs} ms`;
  const delayed = ownDelayMs === undefined ? "" : `, the gateway itself ${ownDelayMs} ms late`;
  const after = behind === undefined ? "" : `, behind tenant ${behind}`;
  const by = dispatcher === undefined ? "" : ` by ${dispatcher} for group ${group}`;
  const which = verdict === "granted" ? `, lease ${lease}` : "";
  const grounds = [reason, unasked].flatMap((ground) => ground ?? []);
  const why = grounds.length === 0 ? "" : ` (${grounds.join(": ")})`;
  const what = verdict === "alone" ? "is placed by its gateway alone" : `is ${verdict} a place`;
  return `${request} ${what}${why}${by}${which} after ${waitedMs} ms${forecast}${holding}${delayed}${after}`;
}

function retentionText(
  request: string,
  { heldBy, atMs, elapsedMs }: RetentionRecord,
  callMs: number,
): string {
  const waitedMs = elapsedMs ?? callMs - atMs;
  return `${request}: the turn is held by ${heldBy}, for which the end of the answer waited ${waitedMs} ms`;
}

function lineOfBelief({ time, node, msg, ...fields }: LogEntry): StoryLine {
  const { level: _level, ...rest } = fields;
  return { time, node, text: `(${msg} ${JSON.stringify(rest)})` };
}
