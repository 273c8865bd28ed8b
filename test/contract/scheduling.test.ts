import { describe, it } from "node:test";
import { expect } from "earl";
import type { ErrorKindName } from "../../src/errors/error-kinds.ts";
import { checkCall, checkProgram } from "../../src/scheduling/admission/check-call.ts";
import {
  messageTokensBound,
  utf8LengthBound,
  worstCaseTokens,
} from "../../src/scheduling/admission/worst-case-tokens.ts";
import { type EffectivePolicy, isRepeatable } from "../../src/scheduling/policy/effective-policy.ts";
import type { CallRequest, ProgramRecord } from "../../src/scheduling/program/records.ts";
import { RunnerQueue } from "../../src/scheduling/queue/runner-queue.ts";
import type { SlotRequest } from "../../src/scheduling/queue/slot-request.ts";
import { chooseRunner } from "../../src/scheduling/runner-selection/choose-runner.ts";
import type { RunnerView } from "../../src/scheduling/runner-selection/runner-view.ts";

const POLICY: EffectivePolicy = {
  tenant: "magnolia",
  template: "pay-run",
  models: ["agent-llm"],
  priorityClass: "standard",
  weight: 1,
  budget: { tokens: 1_000, window: "day" },
  limits: {
    turns: 3,
    historyTokens: 100,
    completionTokens: 50,
    wallTimeMs: 1_000,
    depth: 1,
    openPrograms: 2,
  },
  services: { "pay-api": { repeatable: ["GET /*", "POST /preview"], timeoutMs: 100 } },
  cacheKeepMs: 1,
  deadlineMs: undefined,
};
const COMPLETION: CallRequest = { type: "completion", model: "agent-llm", messages: [], maxTokens: 10 };
const SERVICE: CallRequest = {
  type: "service",
  service: "pay-api",
  method: "GET",
  path: "/",
  contentType: "",
  body: "",
  idempotencyKey: undefined,
  neverRepeat: false,
};

function program(changes: Partial<ProgramRecord> = {}): ProgramRecord {
  return { nextNumber: 1, openedAtMs: 0, historyTokens: 0, ...changes } as ProgramRecord;
}

describe("admission of calls", () => {
  const CASES: [string, ProgramRecord, CallRequest, number, ErrorKindName | undefined][] = [
    ["admits a call within all limits", program(), COMPLETION, 0, undefined],
    ["refuses a model that is not listed", program(), { ...COMPLETION, model: "x" }, 0, "unknown-model"],
    ["refuses a service that is not listed", program(), { ...SERVICE, service: "x" }, 0, "unknown-service"],
    ["admits the last turn", program({ nextNumber: 3 }), COMPLETION, 0, undefined],
    ["refuses a turn beyond the limit", program({ nextNumber: 4 }), COMPLETION, 0, "limit-reached"],
    ["counts service calls as turns", program({ nextNumber: 4 }), SERVICE, 0, "limit-reached"],
    ["refuses a call after the wall time", program(), COMPLETION, 1_001, "limit-reached"],
    [
      "refuses a completion when the history is full",
      program({ historyTokens: 100 }),
      COMPLETION,
      0,
      "limit-reached",
    ],
    ["admits service calls with a full history", program({ historyTokens: 100 }), SERVICE, 0, undefined],
    [
      "refuses a completion whose answer may be too long",
      program(),
      { ...COMPLETION, maxTokens: 51 },
      0,
      "limit-reached",
    ],
  ];
  for (const [name, record, request, nowMs, kind] of CASES) {
    it(name, () => expect(checkCall(record, POLICY, request, nowMs)?.kind).toEqual(kind));
  }

  it("limits depth and open programs", () => {
    expect(checkProgram(POLICY, 1, 1)).toEqual(undefined);
    expect(checkProgram(POLICY, 2, 0)?.limit?.name).toEqual("depth");
    expect(checkProgram(POLICY, 0, 2)?.limit?.name).toEqual("openPrograms");
  });

  it("never underestimates the bytes of a text", () => {
    for (const text of ["", "abc", "é", "€", "𝄞", "mi-sud € 𝄞"]) {
      expect(utf8LengthBound(text) >= Buffer.byteLength(text)).toEqual(true);
    }
    expect(
      worstCaseTokens(7, { ...COMPLETION, messages: [{ role: "user", content: "abc" }] } as never),
    ).toEqual(7 + 15 + 10);
    expect(messageTokensBound([])).toEqual(0);
  });

  it("repeats only what the template lists", () => {
    const service = POLICY.services["pay-api"];
    expect(isRepeatable(service, "GET", "/x/y")).toEqual(true);
    expect(isRepeatable(service, "POST", "/preview")).toEqual(true);
    expect(isRepeatable(service, "POST", "/preview/x")).toEqual(false);
    expect(isRepeatable(service, "POST", "/deposits")).toEqual(false);
  });
});

function slotRequest(call: string, changes: Partial<SlotRequest> = {}): SlotRequest {
  return {
    call,
    attempt: 1,
    program: call,
    tenant: "t",
    priorityClass: "standard",
    weight: 1,
    slackMs: undefined,
    attainedServiceMs: 0,
    promptTokens: 10,
    maxTokens: 10,
    patienceMs: 1_000,
    ...changes,
  };
}

describe("runner queue", () => {
  const ORDERS: [string, SlotRequest[], string[]][] = [
    ["equal requests in order of arrival", [slotRequest("a"), slotRequest("b")], ["a", "b"]],
    [
      "the more urgent class first",
      [slotRequest("a", { priorityClass: "batch" }), slotRequest("b", { priorityClass: "interactive" })],
      ["b", "a"],
    ],
    [
      "less slack first within a class",
      [slotRequest("a", { slackMs: 900 }), slotRequest("b", { slackMs: 100 })],
      ["b", "a"],
    ],
    [
      "a request with a deadline before one without",
      [slotRequest("a"), slotRequest("b", { slackMs: 5_000 })],
      ["b", "a"],
    ],
    [
      "less attained service first",
      [slotRequest("a", { attainedServiceMs: 500 }), slotRequest("b", { attainedServiceMs: 20 })],
      ["b", "a"],
    ],
    [
      "less attained service per weight first",
      [
        slotRequest("a", { attainedServiceMs: 500, weight: 100 }),
        slotRequest("b", { attainedServiceMs: 20 }),
      ],
      ["a", "b"],
    ],
  ];
  for (const [name, requests, expected] of ORDERS) {
    it(`grants ${name}`, () => {
      const queue = new RunnerQueue({ slots: 1, kvTokens: 1_000 });
      queue.offer(slotRequest("running"), 0);
      queue.grantNext(0);
      for (const request of requests) queue.offer(request, 1);
      const granted: string[] = [];
      let running = "running";
      for (let count = 0; count < requests.length; count++) {
        queue.release(running, 1, 10);
        running = queue.grantNext(10)[0].request.call;
        granted.push(running);
      }
      expect(granted).toEqual(expected);
    });
  }

  it("counts requests that have waited as more urgent, so that none starves", () => {
    const queue = new RunnerQueue({ slots: 1, kvTokens: 1_000, agingStepMs: 100 });
    queue.offer(slotRequest("old", { priorityClass: "batch" }), 0);
    queue.offer(slotRequest("new", { priorityClass: "interactive" }), 350);
    expect(queue.grantNext(400)[0].request.call).toEqual("old");
  });

  it("grants no more than slots and memory allow", () => {
    const queue = new RunnerQueue({ slots: 8, kvTokens: 45 });
    for (const call of ["a", "b", "c"]) queue.offer(slotRequest(call), 0);
    expect(queue.grantNext(0).length).toEqual(2);
    expect(queue.offer(slotRequest("huge", { promptTokens: 100 }), 0)).toEqual(false);
  });

  it("counts the calls of an earlier home as slots in use", () => {
    const queue = new RunnerQueue({ slots: 2, kvTokens: 1_000 });
    queue.setForeignActive(2);
    queue.offer(slotRequest("a"), 0);
    expect(queue.grantNext(0)).toEqual([]);
    queue.setForeignActive(1);
    expect(queue.grantNext(0).length).toEqual(1);
  });

  it("grants nothing while draining, and refuses waiting requests", () => {
    const queue = new RunnerQueue({ slots: 1, kvTokens: 1_000 });
    queue.offer(slotRequest("a"), 0);
    queue.setDraining(true);
    expect(queue.grantNext(0)).toEqual([]);
    expect(queue.takeExpired(0).map(({ call }) => call)).toEqual(["a"]);
    expect(queue.offer(slotRequest("b"), 0)).toEqual(false);
  });

  it("expires requests that have waited for longer than they may", () => {
    const queue = new RunnerQueue({ slots: 0, kvTokens: 1_000 });
    queue.offer(slotRequest("a", { patienceMs: 50 }), 0);
    queue.offer(slotRequest("b", { patienceMs: 500 }), 0);
    expect(queue.takeExpired(100).map(({ call }) => call)).toEqual(["a"]);
  });
});

describe("choice of a runner", () => {
  const runner = (name: string, changes: Partial<RunnerView> = {}): RunnerView => ({
    runner: name,
    models: ["m"],
    zone: "z",
    address: "",
    home: "h",
    fencingToken: 1,
    leaving: false,
    slots: 1,
    expectedWaitMs: 0,
    ...changes,
  });
  const base = { model: "m", promptTokens: 800, zone: "z", cached: [], excluded: [], samples: [0, 0] };
  const CASES: [string, RunnerView[], Partial<Parameters<typeof chooseRunner>[0]>, string | undefined][] = [
    ["prefers the shorter wait", [runner("a", { expectedWaitMs: 50 }), runner("b")], {}, "b"],
    [
      "prefers the runner that has cached the prefix",
      [runner("a"), runner("b")],
      { cached: [{ runner: "b", tokens: 800 }] },
      "b",
    ],
    [
      "avoids a runner that has cached the prefix but is too busy",
      [runner("a"), runner("b", { expectedWaitMs: 500 })],
      { cached: [{ runner: "b", tokens: 800 }] },
      "a",
    ],
    ["prefers its own zone", [runner("a", { zone: "y" }), runner("b")], {}, "b"],
    [
      "skips a runner that is leaving",
      [runner("a", { leaving: true }), runner("b", { expectedWaitMs: 99 })],
      {},
      "b",
    ],
    [
      "skips a runner without a home",
      [runner("a", { home: undefined }), runner("b", { expectedWaitMs: 99 })],
      {},
      "b",
    ],
    ["skips a runner that does not serve the model", [runner("a", { models: ["x"] })], {}, undefined],
    ["skips a runner that has refused the call", [runner("a")], { excluded: ["a"] }, undefined],
  ];
  for (const [name, runners, changes, expected] of CASES) {
    it(name, () => {
      const alternatives = chooseRunner({ ...base, runners, ...changes });
      expect(alternatives.find(({ chosen }) => chosen)?.runner).toEqual(expected);
    });
  }

  it("does not always choose the same runner among equals", () => {
    const runners = [runner("a"), runner("b"), runner("c"), runner("d")];
    const chosen = [0.1, 0.4, 0.6, 0.9].map(
      (sample) => chooseRunner({ ...base, runners, samples: [sample, 0] })[0].runner,
    );
    expect(new Set(chosen).size).toEqual(4);
  });
});
