/**
 * A day's final fault: all processes are killed and start again. Programs with budgets then go on from turns that were
 * answered whole, within the time that turns are kept.
 */
import { createServer, request as httpRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Deployment, type Gateway, HOST, pause } from "../support/deployment.ts";
import { type CaseRecord, type CaseResult, HAS_TROUBLE, runCase } from "../support/outcome.ts";

const GATEWAYS = 3;
const PROGRAMS = 6;
/** Turns of a program before and after the fault. All of them together, and one more, fit into its budget. */
const TURNS_BEFORE = 4;
const TURNS = 7;
const TOKENS_PER_EVENT = 25;
const EVENTS = 21;
const EVENT_MS = 4;
/** The most that a turn generates, and the budget, as in the example of the users' pages. */
const MOST_TOKENS = 575;
const BUDGET_TOKENS = 4_600;
const DEADLINE_MS = 3_000;
/** `settle-ms` of the sheets: by then, ends of turns count. */
const SETTLE_MS = 1_000;
const DOWN_MS = 1_000;
/** `recovery-s` of the sheets, and the last part of it, in which most other turns must be served. */
const RECOVERY_MS = 12_000;
const LAST_MS = 4_000;
const MIN_SERVED_SHARE = 4 / 5;
const BETWEEN_TRIES_MS = 400;
const OTHERS_INTERVAL_MS = 100;

const deployment = new Deployment({ memoryMb: 380 });
const servers: Server[] = [];
/** Identifiers of all requests that the runner has run. */
const ran = new Set<string>();
let requests = 0;

async function startRunner(record: CaseRecord): Promise<string> {
  const server = createServer(async (request, response) => {
    const id = String(request.headers["x-request-id"]);
    for await (const _ of request);
    ran.add(id);
    record.add(`i-1 runs ${id}`);
    const head = { "X-Request-Id": id, "X-Response-Signature": `sig.${id}`, "X-Weight-Versions": "1" };
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
      await pause(EVENT_MS);
      response.write(`id: ${event}\ndata: ${id}-${event}\n\n`);
    }
    response.end();
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** What a caller saw of one try of a turn. */
interface Try {
  readonly id: string;
  readonly status: number;
  readonly events: number;
  readonly isWhole: boolean;
}

/** Sends one try of a turn to a gateway drawn at random. */
function tryTurn(program: string, previous: string | undefined, record: CaseRecord): Promise<Try> {
  requests += 1;
  const id = `req-${requests}`;
  const gateway = deployment.gateways[Math.floor(Math.random() * GATEWAYS)] as Gateway;
  const [host, port] = gateway.callers.split(":");
  record.add(`sent ${id} to ${gateway.name}: a turn of ${program} after ${previous ?? "none"}`);
  return new Promise((resolve) => {
    let events = 0;
    const end = (status: number, isWhole: boolean) => {
      record.add(`answered ${id}: ${status}, ${events} events${isWhole ? "" : ", broken off"}`);
      resolve({ id, status, events, isWhole: isWhole && status === 200 && events === EVENTS });
    };
    const headers: Record<string, string> = {
      Host: HOST,
      "X-Request-Id": id,
      "X-Deadline-Ms": String(DEADLINE_MS),
      "X-Program-Id": program,
      "X-Session-Id": `${program}-main`,
      "X-Program-Deadline-Ms": "40000",
      "X-Token-Budget": String(BUDGET_TOKENS),
      "X-Token-Usage": `1840,${MOST_TOKENS}`,
      "X-Model": "m",
    };
    if (previous !== undefined) headers["X-Previous-Turn"] = previous;
    let hasAnswer = false;
    const options = { host, port, path: "/chat/1", method: "POST", headers, agent: false };
    const call = httpRequest(options, (answer) => {
      hasAnswer = true;
      answer.on("data", (bytes) => {
        events += String(bytes).split("\n\n").length - 1;
      });
      answer.on("error", () => end(answer.statusCode ?? 0, false));
      answer.on("end", () => end(answer.statusCode ?? 0, true));
    });
    call.on("error", () => {
      if (!hasAnswer) end(0, false);
    });
    call.end(`input of ${id}\n`);
  });
}

interface Program {
  readonly name: string;
  /** Turns that were answered whole. */
  done: number;
  /** Tokens handed to the caller, in tries that broke off, too. */
  tokens: number;
  last: string | undefined;
  /** All tries of the turn that comes next. */
  tries: Try[];
}

/** Sends turns of a program until `turns` of them are whole, or time is up. */
async function play(program: Program, turns: number, untilMs: number, record: CaseRecord): Promise<void> {
  while (program.done < turns && performance.now() < untilMs) {
    const tried = await tryTurn(program.name, program.last, record);
    program.tokens += tried.events * TOKENS_PER_EVENT;
    program.tries.push(tried);
    if (!tried.isWhole) {
      await pause(BETWEEN_TRIES_MS);
      continue;
    }
    program.done += 1;
    program.last = tried.id;
    program.tries = [];
  }
}

/** Other programs, each with one turn. Returns the share of turns that were served. */
async function playOthers(fromMs: number, untilMs: number, record: CaseRecord): Promise<number> {
  await pause(Math.max(0, fromMs - performance.now()));
  const tries: Promise<Try>[] = [];
  while (performance.now() < untilMs) {
    tries.push(tryTurn(`other-${tries.length}`, undefined, record));
    await pause(OTHERS_INTERVAL_MS);
  }
  const all = await Promise.all(tries);
  return all.filter(({ isWhole }) => isWhole).length / all.length;
}

async function run(record: CaseRecord): Promise<CaseResult> {
  const address = await startRunner(record);
  await deployment.start(
    [
      {
        name: "resched-chat",
        "path-prefix": "/chat/",
        kind: "streaming",
        "timeout-ms": DEADLINE_MS,
        service: "lm-pool",
        "max-attempts": 2,
        resumable: false,
        sticky: true,
        "retains-context": true,
        "retention-s": 60,
      },
    ],
    [
      {
        name: "lm-pool",
        "max-connections": 160,
        engine: { slots: 12, "kv-capacity": 490_370, "tokens-per-event": TOKENS_PER_EVENT },
      },
    ],
  );
  deployment.listRunner({ id: "i-1", service: "lm-pool", address, slots: 12 });
  await deployment.startGateways(GATEWAYS);
  await pause(2_000);
  const programs = Array.from({ length: PROGRAMS }, (_, index): Program => {
    return { name: `program-${index + 1}`, done: 0, tokens: 0, last: undefined, tries: [] };
  });
  const beforeMs = performance.now() + 10_000;
  await Promise.all(programs.map((program) => play(program, TURNS_BEFORE, beforeMs, record)));
  if (programs.some(({ done }) => done < TURNS_BEFORE)) throw new Error("the first turns were not served");
  await pause(SETTLE_MS + 200);
  const faultMs = performance.now();
  const untilMs = faultMs + RECOVERY_MS;
  if (HAS_TROUBLE) {
    record.add("all gateways are killed");
    await deployment.killAll(DOWN_MS);
    record.add("all gateways are ready again");
  }
  const others = playOthers(untilMs - LAST_MS, untilMs, record);
  await Promise.all(programs.map((program) => play(program, TURNS, untilMs, record)));
  const share = await others;
  record.add(
    `${Math.round(100 * share)} in 100 of the other turns of the last ${LAST_MS / 1_000} s were served`,
  );
  for (const { name, done, tokens } of programs)
    record.add(`${name}: ${done} turns answered whole, ${tokens} of ${BUDGET_TOKENS} tokens handed out`);
  return { breaches: share < MIN_SERVED_SHARE ? [] : programs.flatMap(judge) };
}

/** A turn that goes on from one answered whole reached no runner, although the budget holds it. */
function judge({ name, done, tokens, last, tries }: Program): string[] {
  const isHeld = tokens + MOST_TOKENS <= BUDGET_TOKENS;
  if (done >= TURNS || !isHeld || tries.some(({ id }) => ran.has(id))) return [];
  const answers = [...new Set(tries.map(({ status }) => status))].join(", ");
  const spent = `${tokens} of ${BUDGET_TOKENS} tokens handed out`;
  return [
    `LOST: turn ${done + 1} of ${name}, after ${last}, reached no runner in ${tries.length} tries (${answers}); ${spent}`,
  ];
}

await runCase("review/3/record.txt", run, async () => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  await deployment.stop();
});
