/** Tests which runs are admitted of requests under which runners have ended, and by what tries of a request are recognized. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { callProtocol } from "../../platform/call-headers.ts";
import { fingerprintOf } from "../../src/gateway/poison-requests/fingerprint-of.ts";
import { RunnerReservations } from "../../src/gateway/poison-requests/runner-reservations.ts";
import { UnconfirmedBreaks } from "../../src/gateway/poison-requests/unconfirmed-breaks.ts";
import { RunnerEndDetector } from "../../src/gateway/runners/runner-end-detector.ts";
import { type ConnectionProbe, probeConnection } from "../../src/ports/probe-connection.ts";
import type { RequestFingerprint } from "../../src/scheduling/ids/request-fingerprint.ts";
import type { RequestId } from "../../src/scheduling/ids/request-id.ts";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import {
  type SuspectRun,
  SuspectTable,
  type SuspectVerdict,
  strictestOf,
} from "../../src/scheduling/poison-requests/index.ts";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { runnerEntry } from "./support/runner-entry.ts";

const [BAD, OTHER] = ["bad", "other"] as [RequestFingerprint, RequestFingerprint];
const [R1, R2, R3, R4] = ["r1", "r2", "r3", "r4"] as [RunnerId, RunnerId, RunnerId, RunnerId];
/** Longer than the ends of runners are apart that end together, in ms. */
const SETTLED_MS = 100;
/** Longer than runs wait for calm, in ms. */
const CALM_MS = 400;
const LEASE_MS = 2_000;
const TTL_MS = 300_000;

function runOf(
  fingerprint: RequestFingerprint,
  request: string,
  runner: RunnerId,
  more: Partial<SuspectRun> = {},
): SuspectRun {
  const flags = { acceptsShared: false, isOverdue: false };
  return {
    fingerprint,
    request: request as RequestId,
    runner,
    lost: [],
    leaseMs: LEASE_MS,
    ...flags,
    ...more,
  };
}

/** A table in which runners have ended under a request one after the other, the last one at the returned time. */
function tableWithLost(fingerprint: RequestFingerprint, ...runners: RunnerId[]): [SuspectTable, number] {
  const table = new SuspectTable();
  for (const [index, runner] of runners.entries()) table.recordLost(fingerprint, runner, index * SETTLED_MS);
  return [table, (runners.length - 1) * SETTLED_MS];
}

describe("table of suspects", () => {
  it("admits no run once three runners have ended under a request", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2, R3);
    expect(table.admit(runOf(BAD, "a", R4), atMs).type).toEqual("poison");
    expect(table.isPoison(BAD, atMs)).toEqual(true);
    expect(table.admit(runOf(OTHER, "b", R4), atMs).type).toEqual("granted");
  });

  it("counts a runner once, whoever reports it", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R1, R1, R1);
    table.learnLost(BAD, [R1], atMs);
    expect(table.lostUnder(BAD, atMs)).toEqual([R1]);
    expect(table.admit(runOf(BAD, "a", R2, { lost: [R1] }), atMs).type).toEqual("granted");
  });

  it("counts runs in progress as if their runners had ended, until they are over", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    const nowMs = atMs + CALM_MS;
    expect(table.admit(runOf(BAD, "a", R3), nowMs).type).toEqual("granted");
    expect(table.admit(runOf(BAD, "b", R4), nowMs).type).toEqual("running");
    table.endRun("a" as RequestId, R4);
    expect(table.admit(runOf(BAD, "b", R4), nowMs).type).toEqual("running");
    table.endRun("a" as RequestId, R3);
    expect(table.admit(runOf(BAD, "b", R4), nowMs).type).toEqual("granted");
  });

  it("lets a request that can't wait run beside another one with the same content, unless three runners have ended", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    const nowMs = atMs + CALM_MS;
    expect(table.admit(runOf(BAD, "a", R3), nowMs).type).toEqual("granted");
    expect(table.admit(runOf(BAD, "b", R4, { isOverdue: true }), nowMs).type).toEqual("granted");
    table.recordLost(BAD, R3, nowMs);
    expect(table.admit(runOf(BAD, "c", R4, { isOverdue: true }), nowMs).type).toEqual("poison");
  });

  it("forgets a run whose gateway never tells of its end, once its lease is over", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    expect(table.admit(runOf(BAD, "a", R3), atMs + CALM_MS).type).toEqual("granted");
    expect(table.admit(runOf(BAD, "b", R4), atMs + CALM_MS + LEASE_MS).type).toEqual("granted");
  });

  it("keeps suspects apart, and the last run from all others", () => {
    const [table, atMs] = tableWithLost(BAD, R1);
    table.recordLost(OTHER, R1, atMs);
    const nowMs = atMs + CALM_MS;
    expect(table.admit(runOf(OTHER, "o", R2), nowMs).type).toEqual("granted");
    expect(table.admit(runOf(BAD, "b", R2), nowMs)).toEqual({ type: "taken", lost: [R1], taken: [R2] });
    expect(table.admit(runOf(BAD, "b", R2, { acceptsShared: true }), nowMs).type).toEqual("granted");
    table.endRun("b" as RequestId, R2);
    table.recordLost(BAD, R3, nowMs);
    expect(table.admit(runOf(BAD, "b", R2, { acceptsShared: true }), nowMs + CALM_MS).type).toEqual("taken");
    expect(table.admit(runOf(BAD, "b", R4), nowMs + CALM_MS).type).toEqual("granted");
    const beside = runOf(OTHER, "p", R4, { acceptsShared: true });
    expect(table.admit(beside, nowMs + CALM_MS).type).toEqual("taken");
    expect(table.admit({ ...beside, isOverdue: true }, nowMs + CALM_MS).type).toEqual("granted");
  });

  it("counts runners that end together with others, too, but lets their requests share runners", () => {
    const table = new SuspectTable();
    const killed = [R1, R2, R3].map((runner, index) => {
      const fingerprint = `killed ${index}` as RequestFingerprint;
      table.recordLost(fingerprint, runner, index);
      return fingerprint;
    });
    const nowMs = CALM_MS;
    const [first, second, third] = killed as [RequestFingerprint, RequestFingerprint, RequestFingerprint];
    expect(table.admit(runOf(first, "a", R4), nowMs).type).toEqual("granted");
    expect(table.admit(runOf(second, "b", R4), nowMs).type).toEqual("granted");
    table.recordLost(third, R4, nowMs);
    table.recordLost(third, "r5" as RunnerId, nowMs + CALM_MS);
    expect(table.admit(runOf(third, "c", "r6" as RunnerId), nowMs + 2 * CALM_MS).type).toEqual("poison");
  });

  it("keeps requests apart whose runners ended with too few others", () => {
    const table = new SuspectTable();
    table.recordLost(BAD, R1, 0);
    table.recordLost(OTHER, R2, 1);
    expect(table.admit(runOf(BAD, "a", R4), CALM_MS).type).toEqual("granted");
    expect(table.admit(runOf(OTHER, "b", R4), CALM_MS).type).toEqual("taken");
  });

  it("makes no last run while runners end together, unless the request can't wait", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    for (const [index, runner] of ["x", "y", "z"].entries())
      table.recordLost(OTHER, runner as RunnerId, atMs + SETTLED_MS + index);
    const nowMs = atMs + SETTLED_MS + 10;
    expect(table.admit(runOf(BAD, "a", R4), nowMs).type).toEqual("unsettled");
    expect(table.admit(runOf(BAD, "a", R4, { isOverdue: true }), nowMs).type).toEqual("granted");
    table.endRun("a" as RequestId, R4);
    expect(table.admit(runOf(BAD, "a", R4), nowMs + CALM_MS).type).toEqual("granted");
  });

  it("suspects no request that was run to its end, and forgets the others in time", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2, R3);
    table.clear(BAD);
    expect(table.lostUnder(BAD, atMs)).toEqual([]);
    table.recordLost(OTHER, R1, atMs);
    expect(table.lostUnder(OTHER, atMs + TTL_MS - 1)).toEqual([R1]);
    expect(table.lostUnder(OTHER, atMs + TTL_MS)).toEqual([]);
  });

  it("does not count the runners again that had ended before a whole run, but those that end later", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    table.clear(BAD);
    table.learnLost(BAD, [R1, R2], atMs);
    expect(table.admit(runOf(BAD, "a", R4, { lost: [R1] }), atMs).type).toEqual("granted");
    expect(table.lostUnder(BAD, atMs)).toEqual([]);
    expect([table.describe(BAD, atMs), table.isPoison(BAD, atMs)]).toEqual([undefined, false]);
    table.recordLost(BAD, R3, atMs);
    expect(table.lostUnder(BAD, atMs)).toEqual([R3]);
  });

  it("lets tries of a request run beside each other that has been run to its end", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2);
    table.clear(BAD);
    for (const [index, runner] of [R1, R2, R3, R4].entries())
      expect(table.admit(runOf(BAD, `try ${index}`, runner, { lost: [R1] }), atMs).type).toEqual("granted");
  });

  it("is empty again once all that it knew is too old", () => {
    const [table, atMs] = tableWithLost(BAD, R1);
    expect([table.isEmpty(atMs + TTL_MS - 1), table.isEmpty(atMs + TTL_MS)]).toEqual([false, true]);
  });

  it("remembers a bounded number of requests, the newest ones", () => {
    const table = new SuspectTable();
    for (let index = 0; index <= 10_000; index += 1)
      table.recordLost(`request ${index}` as RequestFingerprint, R1, index);
    expect(table.lostUnder("request 0" as RequestFingerprint, 10_000)).toEqual([]);
    expect(table.lostUnder("request 1" as RequestFingerprint, 10_000)).toEqual([R1]);
  });

  it("tells others of requests under which several runners have ended, and takes their word", () => {
    const [table, atMs] = tableWithLost(BAD, R1, R2, R3);
    table.recordLost(OTHER, R1, atMs);
    const known = table.describeAll(atMs);
    expect(known).toEqual([{ fingerprint: BAD, lost: [R1, R2, R3] }]);
    const told = new SuspectTable();
    for (const { fingerprint, lost } of known) told.learnLost(fingerprint, lost, 0);
    expect(told.isPoison(BAD, 1)).toEqual(true);
  });

  it("takes the strictest of several verdicts", () => {
    const verdicts: SuspectVerdict[] = [
      { type: "granted", lost: [], isLast: false },
      { type: "poison", lost: [] },
      { type: "taken", lost: [], taken: [] },
    ];
    expect(strictestOf(verdicts)?.type).toEqual("poison");
    expect(strictestOf([])).toEqual(undefined);
  });
});

describe("fingerprint of a request", () => {
  const headers = { "x-request-id": "a", "x-deadline-ms": "3000", "x-program-id": "p", "x-session-id": "s" };
  const content = (more: object, body = "body", target = "/x?y=1") => {
    const call = callProtocol.parseCall({ ...headers, ...more });
    if (!call) throw new Error("no call");
    return fingerprintOf({ method: "POST", target, body: Buffer.from(body), call, tenant: undefined });
  };

  it("is the same for all tries of a request", () => {
    const tries = [
      { "x-request-id": "b" },
      { "x-deadline-ms": "10" },
      { "x-program-deadline-ms": "17" },
      { "last-event-id": "7", resumes: "a" },
    ];
    for (const more of tries) expect(content(more)).toEqual(content({}));
  });

  it("differs with the content, the target, the program, its session and the turn before", () => {
    const others = [
      content({}, "other"),
      content({}, "body", "/x?y=2"),
      content({ "x-program-id": "q" }),
      content({ "x-session-id": "t" }),
      content({ "x-previous-turn": "z" }),
      content({ "x-affinity-key": "k" }),
    ];
    expect(new Set([...others, content({})]).size).toEqual(others.length + 1);
  });
});

describe("ends of runners", () => {
  const entry = runnerEntry("r1");

  it("are told by a refused connection or a missing entry, and by nothing else", async () => {
    const cases: [ConnectionProbe, boolean, string][] = [
      ["refused", true, "ended"],
      ["accepted", true, "running"],
      ["unanswered", true, "unknown"],
      ["accepted", false, "ended"],
    ];
    for (const [probe, isListed, condition] of cases) {
      const detector = new RunnerEndDetector({ isListed: () => isListed }, async () => probe);
      expect(await detector.check(entry)).toEqual(condition as never);
    }
  });

  it("are looked for with one connection for all that ask at the same time", async () => {
    let probes = 0;
    const probe = async (): Promise<ConnectionProbe> => {
      probes += 1;
      return "accepted";
    };
    const detector = new RunnerEndDetector({ isListed: () => true }, probe);
    await Promise.all([detector.check(entry), detector.check(entry)]);
    expect(probes).toEqual(1);
    await detector.check(entry);
    expect(probes).toEqual(2);
  });

  it("show at the address of a process that has ended", async () => {
    const runner = new RunnerStandin("r");
    const address = await runner.listen();
    expect(await probeConnection(address, 500)).toEqual("accepted");
    runner.end();
    expect(await probeConnection(address, 500)).toEqual("refused");
  });

  it("may become known later of runs that broke without a sign, for a limited time", () => {
    const breaks = new UnconfirmedBreaks();
    const run = { pool: "p", fingerprint: BAD, request: "a" as RequestId, runner: R1 };
    breaks.add(run, 0);
    expect(breaks.take(R2, 1)).toEqual([]);
    expect(breaks.take(R1, 1)).toEqual([run]);
    expect(breaks.take(R1, 1)).toEqual([]);
    breaks.add(run, 0);
    expect(breaks.take(R1, 10_000)).toEqual([]);
  });
});

describe("reservations of runners", () => {
  it("end when they are told to, and by themselves", () => {
    const reservations = new RunnerReservations();
    reservations.set(R1, 500, 0);
    reservations.setOwn(R2, 60_000, 0);
    expect([reservations.isReserved(R1, 499), reservations.isReserved(R1, 500)]).toEqual([true, false]);
    expect([reservations.isReserved(R2, 1_999), reservations.isReserved(R2, 2_000)]).toEqual([true, false]);
    reservations.setOwn(R3, 500, 0);
    reservations.setOwn(R3, 0, 1);
    expect([reservations.isReserved(R3, 1), reservations.isOwn(R3), reservations.isOwn(R2)]).toEqual([
      false,
      false,
      true,
    ]);
    expect(reservations.hasAny(1_999)).toEqual(true);
    expect([reservations.hasAny(2_000), reservations.isOwn(R2)]).toEqual([false, false]);
  });
});
