/** What one node believes of the runners, and which one it chooses. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { RunnerId } from "../../src/scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../src/scheduling/ids/runner-name.ts";
import type { CallTiming } from "../../src/scheduling/runner-balancing/call-timing.ts";
import { RunnerBoard } from "../../src/scheduling/runner-balancing/runner-balancer.ts";
import type { RunnerEntry } from "../../src/scheduling/runner-balancing/runner-entry.ts";

const A = "a" as RunnerId;
const B = "b" as RunnerId;
const C = "c" as RunnerId;
const ALL = [A, B, C];

describe("runner board", () => {
  const entry = (id: RunnerId, more: Partial<RunnerEntry> = {}): RunnerEntry => ({
    id,
    name: id as string as RunnerName,
    bornMs: undefined,
    pool: "p",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 4,
    state: "ready",
    ...more,
  });
  const choice = {
    pool: "p",
    zone: "z",
    excluded: new Set<RunnerId>(),
    preferred: undefined,
    nowMs: 0,
    sample: 0,
  };

  const PATIENCE_MS = 400;

  it("takes the runner with least in flight, as all nodes see it", () => {
    const board = new RunnerBoard();
    for (const id of [A, B]) board.upsert(entry(id));
    board.report("other node", { inFlight: [[A, 2]], failing: [] }, 0);
    board.started(B, 0, PATIENCE_MS);
    expect(board.choose(choice)?.id).toEqual(B);
    board.dropReport("other node");
    expect(board.choose(choice)?.id).toEqual(A);
  });

  it("goes back to the runner that holds the prompt while it has room", () => {
    const board = new RunnerBoard();
    for (const id of [A, B]) board.upsert(entry(id));
    board.started(A, 0, PATIENCE_MS);
    expect(board.choose({ ...choice, preferred: A })?.id).toEqual(A);
    for (let count = 0; count < 6; count += 1) board.started(A, 0, PATIENCE_MS);
    expect(board.choose({ ...choice, preferred: A })?.id).toEqual(B);
  });

  it("stays with the runner that holds the prompt when that is full and others are free", () => {
    const board = new RunnerBoard();
    for (const id of [A, B]) board.upsert(entry(id));
    for (let count = 0; count < 4; count += 1) board.started(A, 0, PATIENCE_MS);
    expect(board.choose({ ...choice, preferred: A })?.id).toEqual(A);
    expect(board.choose(choice)?.id).toEqual(B);
  });

  it("gives nothing new to runners that drain, left, or refused the request", () => {
    const board = new RunnerBoard();
    board.upsert(entry(A, { state: "draining" }));
    expect(board.choose(choice)).toEqual(undefined);
    board.upsert(entry(B));
    expect(board.choose({ ...choice, excluded: new Set([B]) })).toEqual(undefined);
    board.markLeaving(B);
    expect(board.choose(choice)).toEqual(undefined);
    board.remove(B);
    expect(board.ready(B)).toEqual(undefined);
  });

  const EVIDENCE: [name: string, against: (board: RunnerBoard) => void][] = [
    ["answers badly", (board) => board.ended(board.started(A, 0, PATIENCE_MS), "failure", 10)],
    ["does not answer at all", (board) => void board.started(A, -2 * PATIENCE_MS, PATIENCE_MS)],
    ["was silent until its caller left", (board) => abandon(board, -2 * PATIENCE_MS)],
    [
      "fails requests of other nodes",
      (board) => board.report("n", { inFlight: [], failing: [[A, 1, 2]] }, 0),
    ],
    ["takes far longer than the others", (board) => pace(board)],
  ];
  function abandon(board: RunnerBoard, startedMs: number): void {
    board.ended(board.started(A, startedMs, PATIENCE_MS), "abandoned", 10);
  }
  function pace(board: RunnerBoard): void {
    for (const [id, stepMs] of [
      [A, 200],
      [B, 25],
      [C, 25],
    ] as const)
      board.timed(id, timing(stepMs), 10);
  }
  function timing(workMs: number): CallTiming {
    const unknown = { promptTokens: undefined, wasCached: false };
    return { work: "w", steps: 1, workMs, firstMs: workMs, load: 0, ...unknown };
  }
  for (const [name, against] of EVIDENCE) {
    it(`passes over a runner that ${name}, until that is long ago`, () => {
      const board = new RunnerBoard();
      for (const id of ALL) board.upsert(entry(id, id === A ? {} : { zone: "far" }));
      expect(board.choose({ ...choice, nowMs: 20 })?.id).toEqual(A);
      against(board);
      expect(board.choose({ ...choice, nowMs: 20 })?.id).toEqual(B);
    });
  }

  it("tells a runner that fails from a pool in which all do", () => {
    const board = new RunnerBoard();
    const ids = ALL;
    for (const id of ids) board.upsert(entry(id));
    for (let count = 0; count < 3; count += 1) board.started(A, 0, PATIENCE_MS);
    expect(board.isOutlier(A, PATIENCE_MS)).toEqual(false);
    expect(ids.map((id) => board.isOutlier(id, 2 * PATIENCE_MS))).toEqual([true, false, false]);
    for (const id of [B, C]) {
      for (let count = 0; count < 3; count += 1) board.started(id, 0, PATIENCE_MS);
    }
    expect(ids.map((id) => board.isOutlier(id, 2 * PATIENCE_MS))).toEqual([false, false, false]);
  });

  it("thinks well again of a runner that failed long ago, and of one whose caller left early", () => {
    const board = new RunnerBoard();
    for (const id of [A, B]) board.upsert(entry(id, id === A ? {} : { zone: "far" }));
    board.ended(board.started(A, 0, PATIENCE_MS), "failure", 10);
    expect(board.choose({ ...choice, nowMs: 20_000 })?.id).toEqual(A);
    abandon(board, 20_000);
    expect(board.choose({ ...choice, nowMs: 20_020 })?.id).toEqual(A);
    expect(board.ownReport(20_020)).toEqual({ inFlight: [], failing: [] });
  });

  it("passes over a runner that refused connections, but takes it when nothing else is left", () => {
    const board = new RunnerBoard();
    for (const id of [A, B]) board.upsert(entry(id));
    board.avoid(A, 0);
    for (let count = 0; count < 4; count += 1) board.started(B, 0, PATIENCE_MS);
    expect(board.choose({ ...choice, nowMs: 10 })?.id).toEqual(B);
    expect(board.choose({ ...choice, excluded: new Set([B]) })?.id).toEqual(A);
  });
});
