/** A caller of event streams that takes a broken stream up at another gateway, and notes which runs its events came from. */
import { request } from "undici";
import type { RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { newRequestId } from "./gateway-caller.ts";
import { PATHS, pause, TEST_HOST, type TestGateway } from "./gateway-cluster.ts";

const DEADLINE_MS = 3_000;
const RETRY_DELAY_MS = 20;
const EVENT_PATTERN = /^id: (\d+)$/gm;

/** One request of a stream's caller. */
export interface StreamAttempt {
  readonly id: string;
  readonly status: number;
  /** Identifier of the last event that the caller had when the attempt ended; 0 without any. */
  readonly lastEventId: number;
}

/** What a caller has seen of one stream. */
export interface ObservedStream {
  readonly attempts: readonly StreamAttempt[];
  /** Identifiers of the events, in the order of their arrival. */
  readonly eventIds: readonly number[];
  readonly isComplete: boolean;
}

/** Reads one stream, and takes it up at the next gateway whenever it breaks, until it is complete or the time is over. */
export async function readStream(
  gateways: readonly TestGateway[],
  first: number,
  events: number,
): Promise<ObservedStream> {
  const untilMs = performance.now() + DEADLINE_MS;
  const attempts: StreamAttempt[] = [];
  const eventIds: number[] = [];
  let resumes: string | undefined;
  for (let index = first; performance.now() < untilMs; index += 1) {
    const id = newRequestId();
    const gateway = gateways[index % gateways.length] as TestGateway;
    const headers = headersOf(id, untilMs - performance.now(), resumes, eventIds.at(-1));
    const status = await readAttempt(gateway, headers, eventIds);
    attempts.push({ id, status, lastEventId: eventIds.at(-1) ?? 0 });
    if (eventIds.length > 0) resumes ??= id;
    if (eventIds.at(-1) === events) return { attempts, eventIds, isComplete: true };
    await pause(RETRY_DELAY_MS);
  }
  return { attempts, eventIds, isComplete: false };
}

/** The versions of the runners whose events the caller of a stream has received. */
export function versionsOf(stream: ObservedStream, runners: readonly RunnerStandin[]): Set<string> {
  const versions = new Set<string>();
  for (const { id, lastEventId } of stream.attempts) {
    const runs = runners.flatMap(({ version, executedRequests }) => {
      const ownRuns = executedRequests.filter((executed) => executed.id === id);
      return ownRuns.map((executed) => ({ version, after: executed.lastEventId ?? 0 }));
    });
    runs.sort((left, right) => left.after - right.after);
    runs.forEach(({ version, after }, index) => {
      const until = runs[index + 1]?.after ?? lastEventId;
      if (until > after) versions.add(version);
    });
  }
  return versions;
}

function headersOf(
  id: string,
  leftMs: number,
  resumes: string | undefined,
  lastEventId: number | undefined,
): Record<string, string> {
  return {
    host: TEST_HOST,
    "X-Request-Id": id,
    "X-Deadline-Ms": String(Math.ceil(leftMs)),
    "X-Token-Usage": "100,1000",
    "X-Model": "m",
    ...(resumes === undefined ? {} : { Resumes: resumes }),
    ...(lastEventId === undefined ? {} : { "Last-Event-Id": String(lastEventId) }),
  };
}

/** Sends one request and adds the identifiers of its events; returns its status, 0 without a whole answer. */
async function readAttempt(
  gateway: TestGateway,
  headers: Record<string, string>,
  eventIds: number[],
): Promise<number> {
  try {
    const url = `http://${gateway.addresses.callers}${PATHS.turn}`;
    const { statusCode, body } = await request(url, { method: "POST", headers, body: "input" });
    let text = "";
    for await (const chunk of body) {
      text += String(chunk);
      const end = text.lastIndexOf("\n\n") + 2;
      if (end < 2) continue;
      for (const [, eventId] of text.slice(0, end).matchAll(EVENT_PATTERN)) eventIds.push(Number(eventId));
      text = text.slice(end);
    }
    return statusCode;
  } catch {
    return 0;
  }
}
