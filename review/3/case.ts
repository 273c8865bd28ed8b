/**
 * Runners of a service with more streams than slots lose some of their answers. The route allows one runner for a request;
 * a request whose answer broke may go on at that runner only, unless the runner has ended or was cut off.
 */
import { request as httpRequest } from "node:http";
import { Deployment, type Gateway, HOST, pause } from "../support/deployment.ts";
import { type CaseRecord, type CaseResult, HAS_TROUBLE, runCase } from "../support/outcome.ts";
import { type Run, StreamRunner } from "./stream-runner.ts";

const RUNNERS = 3;
const SLOTS = 4;
const QUEUE = 4;
/** Answers differ in length, as on the users' sheets. */
const MIN_EVENTS = 5;
const MAX_EVENTS = 25;
const EVENT_MS = 60;
const CALLERS = 21;
const LOAD_MS = 50_000;
const DEADLINE_MS = 3_000;
const MAX_ATTEMPTS = 1;
/** The rule is broken by more requests than this. */
const ALLOWED = 3;
/** Twice the share of answers that the users' site files lose at most. */
const LOST_SHARE = 0.1;
const LOST_AFTER_EVENTS = 3;
/** A run that goes on elsewhere while the one before still works after this time breaks the rule TWICE. */
const TWICE_AFTER_MS = 400;

const deployment = new Deployment();
const runners: StreamRunner[] = [];
let requests = 0;

/** The number of events of a request's answer, the same at each runner. */
function eventsOf(request: string): number {
  const number = Number(request.split("-")[1]);
  return MIN_EVENTS + ((number * 7) % (MAX_EVENTS - MIN_EVENTS + 1));
}

/** Sends a stream's request and reads its answer; resolves to what the caller saw. */
function stream(gateway: Gateway, id: string): Promise<string> {
  const [host, port] = gateway.callers.split(":");
  return new Promise((resolve) => {
    const headers = { Host: HOST, "X-Request-Id": id, "X-Deadline-Ms": String(DEADLINE_MS), "X-Model": "m" };
    const call = httpRequest(
      { host, port, path: "/query/1", method: "POST", headers: { ...headers, "X-Token-Usage": "100,80" } },
      (answer) => {
        let events = 0;
        answer.on("data", (bytes) => {
          events += String(bytes).split("\n\n").length - 1;
        });
        answer.on("error", () => resolve(`${answer.statusCode}, broken off after ${events} events`));
        answer.on("end", () => resolve(`${answer.statusCode}, ${events} events`));
      },
    );
    call.on("error", () => resolve("no answer"));
    call.end("{}");
  });
}

async function callUntil(untilMs: number, index: number, record: CaseRecord): Promise<void> {
  while (performance.now() < untilMs) {
    const gateway = deployment.gateways[index % deployment.gateways.length] as Gateway;
    requests += 1;
    const id = `req-${requests}`;
    record.add(`sent ${id} to ${gateway.name}`);
    const answer = await stream(gateway, id);
    record.add(`answered ${id}: ${answer}`);
    // Callers that are refused come back later.
    await pause(answer.startsWith("200") ? 20 : 150);
  }
}

async function run(record: CaseRecord): Promise<CaseResult> {
  let runCount = 0;
  const loseAfter = () => {
    runCount += 1;
    const isLost = HAS_TROUBLE && runCount % Math.round(1 / LOST_SHARE) === 0;
    return isLost ? LOST_AFTER_EVENTS : undefined;
  };
  await deployment.start(
    [
      {
        name: "paycheck-query",
        "path-prefix": "/query/",
        kind: "streaming",
        "timeout-ms": DEADLINE_MS,
        service: "agent-llm",
        "max-attempts": MAX_ATTEMPTS,
        resumable: true,
        sticky: true,
      },
    ],
    [
      {
        name: "agent-llm",
        "max-connections": 180,
        engine: { slots: SLOTS, "kv-capacity": 568_127, "tokens-per-event": 10 },
      },
    ],
  );
  for (let index = 1; index <= RUNNERS; index += 1) {
    const id = `i-${index}`;
    const options = { id, slots: SLOTS, queue: QUEUE, eventsOf, eventMs: EVENT_MS, loseAfter };
    const runner = new StreamRunner(options, record);
    runners.push(runner);
    deployment.listRunner({ id, service: "agent-llm", address: await runner.listen(), slots: SLOTS });
  }
  await deployment.startGateways(2);
  const untilMs = performance.now() + LOAD_MS;
  await Promise.all(Array.from({ length: CALLERS }, (_, index) => callUntil(untilMs, index, record)));
  return { breaches: judge(record) };
}

function judge(record: CaseRecord): string[] {
  const byRequest = new Map<string, Run[]>();
  for (const ran of runners.flatMap(({ runs }) => runs))
    byRequest.set(ran.request, [...(byRequest.get(ran.request) ?? []), ran]);
  const spread = [...byRequest].filter(
    ([, runs]) => new Set(runs.map((ran) => ran.runner)).size > MAX_ATTEMPTS,
  );
  const twice = spread.filter(([, runs]) => worksOnElsewhere(runs));
  const refused = runners.reduce((sum, runner) => sum + runner.refused, 0);
  record.add(`${byRequest.size} requests ran, ${refused} were refused by runners as not executed`);
  record.add(
    `${spread.length} requests ran on more than ${MAX_ATTEMPTS} runner; all runners lived and were reached`,
  );
  record.add(
    `${twice.length} of these still ran at the runner before, ${TWICE_AFTER_MS} ms after they went on`,
  );
  if (spread.length <= ALLOWED) return [];
  return spread.map(([id, runs]) => `BUDGET: ${id} ran on ${runs.map((ran) => ran.runner).join(" and ")}`);
}

/** Whether a later run at another runner began at least 400 ms before an earlier one ended. */
function worksOnElsewhere(runs: readonly Run[]): boolean {
  return runs.some((earlier) =>
    runs.some(
      (later) =>
        later.runner !== earlier.runner &&
        later.startedMs > earlier.startedMs &&
        (earlier.endedMs ?? Number.POSITIVE_INFINITY) - later.startedMs >= TWICE_AFTER_MS,
    ),
  );
}

await runCase("review/3/record.txt", run, async () => {
  for (const runner of runners) runner.close();
  await deployment.stop();
});
