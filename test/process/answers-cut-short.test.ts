/** Tests that no answer looks complete whose runner broke it off, and that whole answers without framing arrive whole. */
import { afterEach, beforeEach, describe, it } from "node:test";
import { expect } from "earl";
import type { RawAnswer } from "../../standins/http/raw-answer.ts";
import type { AnswerEnding } from "../../standins/platform/answer-ending.ts";
import type { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { knownRed } from "../support/known-red.ts";
import { newRequestId } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";
import { type RawRequest, sendRaw } from "./support/raw-caller.ts";
import { TestAddresses } from "./support/test-addresses.ts";

const EVENTS = 6;
const RUNNERS = 2;
/** More than a gateway passes to the operating system at a time. */
const LARGE_BODY_BYTES = 200_000;
/** What is sent of an event: up to a byte within the id or the data, or all but the last bytes of the blank line. */
const CUTS_WITHIN_EVENT = [1, 8, 20, -1, -2];
const WHOLE_BY_CONNECTION: AnswerEnding = { framing: "connection", cut: undefined, end: "fin" };
const PLAIN_CUT: AnswerEnding = { framing: "connection", cut: { afterEvents: 0, bytes: 3 }, end: "fin" };

/** The ways in which a runner breaks a stream off within an event, and nothing else shows it. */
const CUT_WITHIN_EVENT = (["\n", "\r\n"] as const).flatMap((lineEnd) =>
  CUTS_WITHIN_EVENT.flatMap((bytes) =>
    [{ framing: "connection", end: "fin" } as const, { framing: "own", end: "framed" } as const].map(
      (framed) => ({ lineEnd, ending: { ...framed, cut: { afterEvents: 2, bytes } } }),
    ),
  ),
);
/** Breaks that show on the wire. */
const VISIBLE_BREAKS: readonly AnswerEnding[] = [
  { framing: "connection", cut: { afterEvents: 2, bytes: 8 }, end: "reset" },
  { framing: "connection", cut: { afterEvents: 2, bytes: 0 }, end: "reset" },
  { framing: "own", cut: { afterEvents: 2, bytes: 8 }, end: "reset" },
  { framing: "own", cut: { afterEvents: 2, bytes: 0 }, end: "fin" },
  { framing: "own", cut: undefined, end: "fin" },
];

/** A cluster whose gateways stop in less time than a stream takes. */
class ShortStopCluster extends GatewayCluster {
  static override async start(): Promise<ShortStopCluster> {
    const started = new ShortStopCluster(new TestAddresses());
    await started.startAll(1, RUNNERS, 0);
    return started;
  }

  protected override get extraSettings(): object {
    return { timing: { stopMs: 700, lingerMs: 100 } };
  }
}

let cluster: GatewayCluster;

function gateway(): TestGateway {
  return cluster.gateways[0] as TestGateway;
}

/** Lets the runners end their answers in a way: the next `count` answers, or all of them. */
function endAnswersWith(ending: AnswerEnding | undefined, count = Number.POSITIVE_INFINITY): void {
  for (const runner of [...cluster.engines, ...cluster.services]) {
    runner.ending = ending;
    runner.remainingFaults = count;
  }
}

function streamRequest(path: string, more: Partial<RawRequest> = {}): RawRequest {
  const id = newRequestId();
  const headers = {
    "X-Request-Id": id,
    "X-Deadline-Ms": "3000",
    "X-Token-Usage": "100,1000",
    "X-Model": "m",
    "X-Program-Id": `program-of-${id}`,
    "X-Session-Id": "main",
    "X-Program-Deadline-Ms": "60000",
    "X-Token-Budget": "10000",
  };
  return { path, headers, ...more };
}

function plainRequest(path: string, more: Partial<RawRequest> = {}): RawRequest {
  return { path, headers: { "X-Request-Id": newRequestId(), "X-Deadline-Ms": "3000" }, ...more };
}

function idOf({ headers }: RawRequest): string {
  return headers["X-Request-Id"] as string;
}

async function sendOne(request: RawRequest): Promise<RawAnswer> {
  const [answer] = await sendRaw(gateway(), request);
  if (!answer) throw new Error("no answer came");
  return answer;
}

function eventNumbers({ body }: RawAnswer): number[] {
  const events = body.split(/\r?\n\r?\n/).slice(0, -1);
  return events.map((event) => Number(/^id: (\d+)$/m.exec(event)?.[1]));
}

const ALL_EVENTS = Array.from({ length: EVENTS }, (_, index) => index + 1);

async function expectWholeStream(path: string): Promise<void> {
  const answer = await sendOne(streamRequest(path));
  expect([answer.status, answer.end, eventNumbers(answer)]).toEqual([200, "framed", ALL_EVENTS]);
}

function runsOf(request: RawRequest): number {
  const runners = [...cluster.engines, ...cluster.services];
  return runners.flatMap(({ executedRequests }) => executedRequests).filter(({ id }) => id === idOf(request))
    .length;
}

/** The tries of a call by the log of its gateway. */
async function triesOf(request: RawRequest): Promise<Record<string, unknown>[]> {
  for (;;) {
    const log = cluster.logs().get(gateway().name) ?? "";
    const line = log.split("\n").find((text) => text.includes(idOf(request)) && text.includes('"tries"'));
    if (line) return JSON.parse(line).tries;
    await pause(20);
  }
}

/** Names of the tests, under which those that are known to fail are listed. */
const NAMES = {
  cutInEvent: "never completes a stream that every run cuts inside an event",
  resumedInEvent: "goes on with a stream that its runner cut inside an event",
  beforeFirst: "goes on with a stream whose runner closed the connection before the first event",
  betweenEvents: "goes on with a stream whose runner closed the connection between two events",
  visible: "goes on with a stream whose break shows in its framing",
  wholeStream: "completes a stream that ends with its connection at every run, after a second run agrees",
  fullRunners: "breaks off a stream whose end nobody can vouch for while all runners are full",
  brieflyFullRunners: "goes on with a stream that ended with its connection once a runner has room",
  leavingRunner: "goes on with a stream whose runner leaves as planned and is still listed",
  stopRunsOut: "resets the connection of a caller without chunks when a planned stop runs out of time",
  callersWithoutChunks: "resets the connection of a caller without chunks when its stream breaks",
  retained: "keeps no turn whose answer was cut short",
  unsafePlain: "states no length for a plain answer that ended with its connection",
  resetPlain: "takes no reset for the end of a plain answer",
  largePlain: "states no length for a large plain answer that ended with its connection",
  safePlain: "runs a safe call again whose answer ended with its connection",
  uncertainSafe: "passes a safe call's answer on without a length if no run tells its end",
  silentSecondRun: "sends a safe call's uncertain answer in time when the second run stays silent",
  usualEnds: "runs safe calls once where nearly all answers end with their connection",
  failures: "states no length for a failure that ended with its connection",
  withoutBody: "passes the headers of answers without a body on unchanged",
  pipelined: "answers pipelined requests behind answers without framing",
  recorded: "counts an answer that was cut short as a failure of its runner",
};

describe("answers that end with their connection", () => {
  beforeEach(async () => {
    cluster = await GatewayCluster.start(1, RUNNERS, RUNNERS);
    for (const runner of cluster.engines) runner.events = EVENTS;
  });

  afterEach(() => cluster?.stop());

  it(NAMES.cutInEvent, knownRed(NAMES.cutInEvent), async () => {
    // More events than all runs together get to.
    for (const runner of cluster.engines) runner.events = 100;
    for (const { lineEnd, ending } of CUT_WITHIN_EVENT) {
      for (const runner of cluster.engines) runner.lineEnd = lineEnd;
      for (const afterEvents of [0, 1]) {
        const everyRun = { ...ending, cut: { ...ending.cut, afterEvents } };
        endAnswersWith(everyRun);
        for (const path of [PATHS.turn, PATHS.kept]) {
          const { status, end } = await sendOne(streamRequest(path));
          // A failure of the gateway's own is a whole answer.
          expect(status === 200 && end !== "broken" ? [path, lineEnd, everyRun] : []).toEqual([]);
        }
      }
    }
  });

  it(NAMES.resumedInEvent, knownRed(NAMES.resumedInEvent), async () => {
    for (const { lineEnd, ending } of CUT_WITHIN_EVENT) {
      endAnswersWith(ending, 1);
      for (const runner of cluster.engines) runner.lineEnd = lineEnd;
      for (const path of [PATHS.turn, PATHS.kept]) await expectWholeStream(path);
    }
  });

  it(NAMES.beforeFirst, knownRed(NAMES.beforeFirst), async () => {
    endAnswersWith({ framing: "connection", cut: { afterEvents: 0, bytes: 0 }, end: "fin" }, 1);
    for (const path of [PATHS.turn, PATHS.kept]) await expectWholeStream(path);
  });

  it(NAMES.betweenEvents, knownRed(NAMES.betweenEvents), async () => {
    for (const afterEvents of [1, 3, EVENTS - 1]) {
      endAnswersWith({ framing: "connection", cut: { afterEvents, bytes: 0 }, end: "fin" }, 1);
      for (const path of [PATHS.turn, PATHS.kept]) await expectWholeStream(path);
    }
  });

  it(NAMES.visible, knownRed(NAMES.visible), async () => {
    for (const ending of VISIBLE_BREAKS) {
      endAnswersWith(ending, 1);
      for (const path of [PATHS.turn, PATHS.kept]) await expectWholeStream(path);
    }
  });

  it(NAMES.wholeStream, knownRed(NAMES.wholeStream), async () => {
    endAnswersWith(WHOLE_BY_CONNECTION);
    for (const path of [PATHS.turn, PATHS.kept]) await expectWholeStream(path);
    const request = streamRequest(PATHS.turn);
    await sendOne(request);
    expect(runsOf(request)).toEqual(2);
  });

  /** Starts a stream that its runner ends between two events; no runner has room for another run from then on. */
  async function cutBeforeFullRunners(path: string): Promise<{ id: string; answer: Promise<RawAnswer> }> {
    endAnswersWith({ framing: "connection", cut: { afterEvents: EVENTS - 2, bytes: 0 }, end: "fin" }, 1);
    for (const runner of cluster.engines) runner.stepMs = 20;
    const request = streamRequest(path);
    const answer = sendOne(request);
    while (runsOf(request) === 0) await pause(5);
    for (const runner of cluster.engines) Object.assign(runner, { ending: undefined, fault: "full" });
    for (const runner of cluster.engines) runner.remainingFaults = Number.POSITIVE_INFINITY;
    return { id: idOf(request), answer };
  }

  it(NAMES.fullRunners, knownRed(NAMES.fullRunners), async () => {
    for (const path of [PATHS.turn, PATHS.kept]) {
      const { id, answer } = await cutBeforeFullRunners(path);
      const { end, ...received } = await answer;
      expect([end, eventNumbers({ end, ...received })]).toEqual(["broken", ALL_EVENTS.slice(0, -2)]);
      for (const runner of cluster.engines) runner.fault = "none";
      if (path !== PATHS.kept) continue;
      const next = streamRequest(path);
      const headers = { ...next.headers, "X-Previous-Turn": id };
      expect((await sendOne({ ...next, headers })).status).toEqual(404);
    }
  });

  it(NAMES.brieflyFullRunners, knownRed(NAMES.brieflyFullRunners), async () => {
    for (const path of [PATHS.turn, PATHS.kept]) {
      const { answer } = await cutBeforeFullRunners(path);
      await pause(250);
      for (const runner of cluster.engines) runner.fault = "none";
      const whole = await answer;
      expect([whole.end, eventNumbers(whole)]).toEqual(["framed", ALL_EVENTS]);
    }
  });

  it(NAMES.leavingRunner, knownRed(NAMES.leavingRunner), async () => {
    for (const runner of cluster.engines) runner.stepMs = 50;
    endAnswersWith(WHOLE_BY_CONNECTION);
    const requests = [PATHS.turn, PATHS.kept, PATHS.turn, PATHS.kept].map((path) => streamRequest(path));
    const reading = requests.map((request) => sendOne(request));
    while (requests.some((request) => runsOf(request) === 0)) await pause(5);
    const [leaving] = cluster.engines as [RunnerStandin];
    cluster.listRunner(leaving, "engine", "draining");
    await pause(100);
    leaving.exit();
    for (const answer of await Promise.all(reading))
      expect([answer.end, eventNumbers(answer)]).toEqual(["framed", ALL_EVENTS]);
  });

  it(NAMES.callersWithoutChunks, knownRed(NAMES.callersWithoutChunks), async () => {
    endAnswersWith({ framing: "connection", cut: { afterEvents: 0, bytes: 8 }, end: "reset" });
    const first = await sendOne(streamRequest(PATHS.turn, { version: "1.0" }));
    expect(first.status).toEqual(502);
    for (const runner of cluster.engines) runner.stepMs = 20;
    endAnswersWith({ framing: "connection", cut: { afterEvents: 1, bytes: 8 }, end: "reset" }, 3);
    const whole = await sendOne(streamRequest(PATHS.turn, { version: "1.0" }));
    expect([whole.end, eventNumbers(whole)]).toEqual(["connection", ALL_EVENTS]);
    for (const runner of cluster.engines) runner.events = 100;
    endAnswersWith({ framing: "connection", cut: { afterEvents: 1, bytes: 8 }, end: "reset" });
    const broken = await sendOne(streamRequest(PATHS.turn, { version: "1.0" }));
    expect([broken.status, broken.end]).toEqual([200, "broken"]);
  });

  it(NAMES.stopRunsOut, knownRed(NAMES.stopRunsOut), async () => {
    await cluster.stop();
    cluster = await ShortStopCluster.start();
    for (const runner of cluster.engines) Object.assign(runner, { events: 200, stepMs: 20 });
    const request = streamRequest(PATHS.turn, { version: "1.0" });
    const reading = sendOne(request);
    while (runsOf(request) === 0) await pause(10);
    await pause(200);
    gateway().process.signal("SIGTERM");
    const answer = await reading;
    expect([answer.status, answer.end]).toEqual([200, "broken"]);
    expect(eventNumbers(answer).length > 0).toEqual(true);
  });

  it(NAMES.retained, knownRed(NAMES.retained), async () => {
    for (const runner of cluster.engines) runner.events = 100;
    endAnswersWith({ framing: "connection", cut: { afterEvents: 1, bytes: 8 }, end: "fin" });
    const cut = streamRequest(PATHS.kept);
    expect((await sendOne(cut)).end).toEqual("broken");
    endAnswersWith(undefined);
    const next = streamRequest(PATHS.kept);
    const headers = { ...next.headers, "X-Previous-Turn": idOf(cut) };
    expect((await sendOne({ ...next, headers })).status).toEqual(404);
  });

  it(NAMES.unsafePlain, knownRed(NAMES.unsafePlain), async () => {
    for (const [ending, expectedBody] of [
      [PLAIN_CUT, () => "don"],
      [WHOLE_BY_CONNECTION, (id: string) => `done ${id}`],
    ] as const) {
      endAnswersWith(ending);
      const request = plainRequest(PATHS.unsafe);
      const answer = await sendOne(request);
      expect([answer.status, answer.end, answer.body]).toEqual([
        200,
        "connection",
        expectedBody(idOf(request)),
      ]);
      expect([answer.headers.get("connection"), runsOf(request)]).toEqual(["close", 1]);
    }
  });

  it(NAMES.resetPlain, knownRed(NAMES.resetPlain), async () => {
    for (const bytes of [0, 3]) {
      endAnswersWith({ framing: "connection", cut: { afterEvents: 0, bytes }, end: "reset" }, 1);
      const request = plainRequest(PATHS.unsafe);
      expect([(await sendOne(request)).status, runsOf(request)]).toEqual([502, 1]);
    }
  });

  it(NAMES.largePlain, knownRed(NAMES.largePlain), async () => {
    endAnswersWith(WHOLE_BY_CONNECTION);
    const request = plainRequest(PATHS.unsafe);
    const headers = { ...request.headers, "x-test-filling-bytes": String(LARGE_BODY_BYTES) };
    const answer = await sendOne({ ...request, headers });
    expect(answer.end).toEqual("connection");
    expect(answer.body.length > LARGE_BODY_BYTES).toEqual(true);
  });

  it(NAMES.safePlain, knownRed(NAMES.safePlain), async () => {
    for (const ending of [PLAIN_CUT, WHOLE_BY_CONNECTION]) {
      const [first, second] = cluster.services as [RunnerStandin, RunnerStandin];
      for (const [faulty, sound] of [
        [first, second],
        [second, first],
      ] as const) {
        endAnswersWith(undefined);
        faulty.ending = ending;
        sound.ending = undefined;
        for (let count = 0; count < 3; count += 1) {
          const request = plainRequest(PATHS.safe);
          const answer = await sendOne(request);
          expect([answer.status, answer.end, answer.body]).toEqual([200, "framed", `done ${idOf(request)}`]);
        }
      }
    }
  });

  it(NAMES.uncertainSafe, knownRed(NAMES.uncertainSafe), async () => {
    for (const ending of [PLAIN_CUT, WHOLE_BY_CONNECTION]) {
      endAnswersWith(ending);
      const answer = await sendOne(plainRequest(PATHS.safe));
      expect([answer.status, answer.end]).toEqual([200, "connection"]);
    }
  });

  it(NAMES.silentSecondRun, knownRed(NAMES.silentSecondRun), async () => {
    for (const runner of cluster.services) runner.stepMs = 200;
    endAnswersWith(WHOLE_BY_CONNECTION);
    const request = plainRequest(PATHS.safe);
    const sentAtMs = performance.now();
    const reading = sendOne(request);
    while (runsOf(request) === 0) await pause(10);
    endAnswersWith(undefined);
    for (const runner of cluster.services) runner.fault = "silent";
    const answer = await reading;
    expect([answer.status, answer.end, answer.body]).toEqual([200, "connection", `done ${idOf(request)}`]);
    expect([runsOf(request), performance.now() - sentAtMs < 2_500]).toEqual([2, true]);
  });

  it(NAMES.usualEnds, knownRed(NAMES.usualEnds), async () => {
    endAnswersWith(WHOLE_BY_CONNECTION);
    for (let count = 0; count < 16; count += 1) await sendOne(plainRequest(PATHS.safe));
    const request = plainRequest(PATHS.safe);
    const { end } = await sendOne(request);
    expect([end, runsOf(request)]).toEqual(["connection", 1]);
  });

  it(NAMES.failures, knownRed(NAMES.failures), async () => {
    endAnswersWith(PLAIN_CUT);
    for (const runner of cluster.services) runner.status = 404;
    for (const path of [PATHS.unsafe, PATHS.safe]) {
      const answer = await sendOne(plainRequest(path));
      expect([answer.status, answer.end, answer.body]).toEqual([404, "connection", "don"]);
    }
  });

  it(NAMES.withoutBody, knownRed(NAMES.withoutBody), async () => {
    const head = plainRequest(PATHS.unsafe, { method: "HEAD" });
    const answer = await sendOne(head);
    expect(answer.headers.get("content-length")).toEqual(String(`done ${idOf(head)}`.length));
    for (const [statusWithoutBody, statedLength] of [
      [204, undefined],
      [304, "17"],
    ] as const) {
      for (const runner of cluster.services)
        Object.assign(runner, { status: statusWithoutBody, statedLength });
      const { status, headers, end } = await sendOne(plainRequest(PATHS.unsafe));
      const framing = [headers.get("content-length"), headers.get("transfer-encoding")];
      expect([status, end, ...framing]).toEqual([statusWithoutBody, "framed", statedLength, undefined]);
    }
  });

  it(NAMES.pipelined, knownRed(NAMES.pipelined), async () => {
    endAnswersWith(WHOLE_BY_CONNECTION);
    const streams = [streamRequest(PATHS.turn), streamRequest(PATHS.turn)];
    const answers = await sendRaw(gateway(), ...streams);
    expect(answers.map((answer) => [answer.end, eventNumbers(answer)])).toEqual([
      ["framed", ALL_EVENTS],
      ["framed", ALL_EVENTS],
    ]);
    const [plain, ...behind] = await sendRaw(
      gateway(),
      plainRequest(PATHS.unsafe),
      plainRequest(PATHS.unsafe),
    );
    expect([plain?.end, behind]).toEqual(["connection", []]);
  });

  it(NAMES.recorded, knownRed(NAMES.recorded), async () => {
    endAnswersWith({ framing: "connection", cut: { afterEvents: 2, bytes: 8 }, end: "fin" }, 1);
    const request = streamRequest(PATHS.turn);
    await sendOne(request);
    const [first, second] = await triesOf(request);
    expect([first?.framing, first?.lastEvent, first?.unfinishedBytes]).toEqual(["connection", 2, 8]);
    expect(first?.failure).toEqual("the answer ended inside an event");
    expect([second?.framing, second?.lastEvent, second?.failure]).toEqual(["chunks", EVENTS, undefined]);
    expect(Number(second?.failureRate) > 0).toEqual(true);
  });
});
