/** Tests the timeline of a request or a program from collected gateway logs. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { buildTimeline } from "../../src/cli/logs/build-timeline.ts";
import { parseLog } from "../../src/cli/logs/parse-log.ts";

const START = 1_000_000;

function line(node: string, atMs: number, fields: object): string {
  return JSON.stringify({ level: 30, time: START + atMs, node, ...fields });
}

const REFUSED = {
  msg: "call failed",
  request: "r1",
  program: "p",
  route: "turn",
  configuration: 4,
  status: 503,
  kind: "unavailable",
  detail: "the store does not answer",
  elapsedMs: 4,
  admission: { partition: 9, owner: "gateway-b#1", answer: "unavailable", elapsedMs: 4 },
  tries: [],
};

const ANSWERED = {
  msg: "call answered",
  request: "r2",
  program: "p",
  route: "turn",
  configuration: 4,
  status: 200,
  kind: "answered",
  elapsedMs: 100,
  firstByteMs: 60,
  admission: { partition: 9, owner: "gateway-c#1", answer: "granted", previousTurn: "r0", elapsedMs: 20 },
  retention: { heldBy: "store", atMs: 95 },
  tries: [
    { runner: "x", load: 2, failureRate: 0.5, atMs: 21, elapsedMs: 9, failure: "not run, status 503" },
    { runner: "y", load: 1, failureRate: 0, atMs: 30, elapsedMs: 70 },
  ],
};

const TEXT = [
  "a line without JSON",
  `  12.3 gateway-a ${line("gateway-a", 104, REFUSED)}`,
  line("gateway-b", 50, { msg: "store unreachable", reason: "status 429" }),
  line("gateway-c", 300, { msg: "partition taken over", partition: 9, epoch: 7 }),
  line("gateway-c", 301, { msg: "partition taken over", partition: 8, epoch: 7 }),
  line("gateway-z", 302, { msg: "store unreachable", reason: "elsewhere" }),
  line("gateway-a", 500, ANSWERED),
  line("gateway-c", 9_000, { msg: "partition released", partition: 9, epoch: 7 }),
  '{"broken": ',
].join("\n");

describe("timeline from logs", () => {
  it("shows the decisions about a request and earlier state changes of its owner", () => {
    const timeline = buildTimeline(parseLog(TEXT), "r1");
    expect(timeline.map(({ time, node, text }) => `${time - START} ${node} ${text}`)).toEqual([
      '50 gateway-b (store unreachable {"reason":"status 429"})',
      "100 gateway-a r1 of program p arrives on route turn, configuration 4",
      "104 gateway-a r1: partition 9, owned by gateway-b#1, says unavailable after 4 ms",
      "104 gateway-a r1 ends after 4 ms, 503 unavailable: the store does not answer",
    ]);
  });

  it("shows all requests of a program and the takeovers of its partition meanwhile", () => {
    const timeline = buildTimeline(parseLog(TEXT), "p").slice(4);
    expect(timeline.map(({ time, text }) => `${time - START} ${text}`)).toEqual([
      '300 (partition taken over {"partition":9,"epoch":7})',
      "400 r2 of program p arrives on route turn, configuration 4",
      "420 r2, goes on from r0: partition 9, owned by gateway-c#1, says granted after 20 ms",
      "421 r2 is sent to x (2 in flight, 50% failing)",
      "430 r2 gets nothing from x: not run, status 503",
      "430 r2 is sent to y (1 in flight, 0% failing)",
      "460 r2: first byte handed on",
      "500 r2: the turn is held by store, for which the end of the answer waited 5 ms",
      "500 r2 ends after 100 ms, 200 answered",
    ]);
  });

  it("shows where a runner broke an answer off, and that another run is asked about an open end", () => {
    const attempt = { load: 0, failureRate: 0, version: "v1", framing: "connection", lastEvent: 2 };
    const failure = "the answer ended inside an event";
    const cut = {
      ...ANSWERED,
      tries: [
        { ...attempt, runner: "x", atMs: 10, elapsedMs: 10, unfinishedBytes: 8, failure },
        { ...attempt, runner: "x", atMs: 20, elapsedMs: 10, lastEvent: 4, endDoubted: true },
      ],
    };
    const timeline = buildTimeline(parseLog(line("gateway-a", 500, cut)), "r2").map(({ text }) => text);
    expect(timeline.filter((text) => text.includes("x") && !text.includes("sent"))).toEqual([
      "r2 gets only a part from x, broken off behind event 2, with 8 bytes of the next one: the answer ended inside an event",
      "r2: the answer of x ends with its connection behind event 4; another run is asked",
    ]);
  });

  it("shows why a request beyond its tenant's limit was refused, and state changes of the limit's owner", () => {
    const limited = {
      msg: "call failed",
      request: "r9",
      tenant: "shop",
      route: "turn",
      configuration: 4,
      status: 429,
      kind: "limited",
      elapsedMs: 7,
      rate: { partition: 8, owner: "gateway-c#1", verdict: "limited", atMs: 2, elapsedMs: 5 },
    };
    const timeline = buildTimeline(parseLog(`${TEXT}\n${line("gateway-a", 310, limited)}`), "r9");
    expect(timeline.map(({ time, text }) => `${time - START} ${text}`)).toEqual([
      '301 (partition taken over {"partition":8,"epoch":7})',
      "303 r9 for tenant shop arrives on route turn, configuration 4",
      "310 r9: the tenant's limit, partition 8, owned by gateway-c#1, says limited after 5 ms",
      "310 r9 ends after 7 ms, 429 limited",
    ]);
  });

  it("shows how long a call waited for a place, behind which tenant, and why it was refused one", () => {
    const placed = {
      ...ANSWERED,
      request: "r7",
      places: [
        {
          verdict: "alone",
          reason: "the dispatcher does not answer",
          ownDelayMs: 3,
          atMs: 20,
          waitedMs: 30,
        },
        {
          verdict: "granted",
          dispatcher: "gateway-d#1",
          group: 2,
          lease: 5,
          expectedMs: 35,
          behind: "shop",
          atMs: 50,
          waitedMs: 40,
        },
        {
          verdict: "refused",
          reason: "wait-too-long",
          dispatcher: "d#1",
          group: 0,
          expectedMs: 900,
          holdingMs: 700,
          atMs: 90,
          waitedMs: 2,
        },
      ],
    };
    const timeline = buildTimeline(parseLog(line("gateway-a", 500, placed)), "r7").map(({ text }) => text);
    expect(timeline.filter((text) => text.includes("plac"))).toEqual([
      "r7 is placed by its gateway alone (the dispatcher does not answer) after 30 ms, the gateway itself 3 ms late",
      "r7 is granted a place by gateway-d#1 for group 2, lease 5 after 40 ms, 35 ms expected, behind tenant shop",
      "r7 is refused a place (wait-too-long) by d#1 for group 0 after 2 ms, 900 ms expected, a place is held for 700 ms",
    ]);
  });

  it("is empty for an identifier that no line contains", () => {
    expect(buildTimeline(parseLog(TEXT), "r3")).toEqual([]);
  });
});
