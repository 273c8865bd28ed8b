/** Tests the whole request path across separate processes: nodes, engines, a service and platform stand-ins. */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { answerOf, Caller, problemOfReply, streamedAnswerOf } from "./support/caller.ts";
import { Cluster } from "./support/cluster.ts";

const ENGINES = [
  { name: "runner-1", models: ["agent-llm"] },
  { name: "runner-2", models: ["agent-llm"] },
];

describe("request path", () => {
  let cluster: Cluster;
  let caller: Caller;

  before(async () => {
    cluster = await Cluster.start({ nodes: 3, engines: ENGINES, services: 1 });
    caller = new Caller(cluster.nodes[0].callers);
    const applied = await cluster.runCommand("template", "apply", "examples/magnolia/templates.yaml");
    expect(applied.code).toEqual(0);
  });

  after(() => cluster.stop());

  it("streams two turns of one program and keeps their history", async () => {
    const program = await caller.open("pay-run");
    const first = streamedAnswerOf(await caller.chat(program, "first #tokens=12", { stream: true }));
    const second = answerOf(await caller.chat(program, "second #tokens=7"));
    expect(first.length).toEqual(12 * 4);
    expect(second.length).toEqual(7 * 4);
    expect(await caller.history(program)).toEqual(["first #tokens=12", first, "second #tokens=7", second]);
  });

  it("runs the calls of one program in the order of their numbers, however they arrive", async () => {
    const program = await caller.open("pay-run");
    const [second, first] = await Promise.all([
      caller.chat(program, "b #tokens=3", {}, { "tulipwheel-call": "2" }),
      caller.chat(program, "a #tokens=30", {}, { "tulipwheel-call": "1" }),
    ]);
    const history = await caller.history(program);
    expect(history).toEqual(["a #tokens=30", answerOf(first), "b #tokens=3", answerOf(second)]);
  });

  it("answers a repeated request with the same response, and runs it once", async () => {
    const program = await caller.open("pay-run");
    const headers = { "idempotency-key": "deposit-17" };
    const first = await caller.service(program, "POST", "/deposits", { amount: 17 }, headers);
    const again = await caller.service(program, "POST", "/deposits", { amount: 17 }, headers);
    expect(first.status).toEqual(200);
    expect(again.text).toEqual(first.text);
    const ledger = (await (await fetch(`http://${cluster.services[0].address}/ledger`)).json()) as {
      idempotencyKey: string;
    }[];
    expect(ledger.filter((call) => call.idempotencyKey === "deposit-17").length).toEqual(1);
  });

  it("forks a child's history from its parent at the stated call", async () => {
    const parent = await caller.open("pay-run");
    const answer = answerOf(await caller.chat(parent, "one #tokens=3"));
    await caller.chat(parent, "two #tokens=3");
    const child = await caller.open("pay-run", { parent: { program: parent, afterCall: 1 } });
    expect(child.startsWith(`${parent}.`)).toEqual(true);
    const childAnswer = answerOf(await caller.chat(child, "three #tokens=3"));
    expect(await caller.history(child)).toEqual(["one #tokens=3", answer, "three #tokens=3", childAnswer]);
    expect((await caller.history(parent)).length).toEqual(4);
  });

  it("explains a call that was placed and one that was refused", async () => {
    const program = await caller.open("pay-run");
    const placed = await caller.chat(program, "explain me #tokens=3");
    const decision = await caller.send("GET", `/v1/decisions/${placed.headers.get("tulipwheel-call-id")}`);
    const view = JSON.parse(decision.text);
    expect(view.state).toEqual("answered");
    expect(view.decision.alternatives.filter((one: { chosen: boolean }) => one.chosen).length).toEqual(1);
    const refused = await caller.chat(program, "x", { max_tokens: 100_000 });
    expect(problemOfReply(refused).kind).toEqual("limit-reached");
  });

  const BAD_REQUESTS: [
    string,
    (program: string) => Promise<{ status: number; text: string }>,
    number,
    string,
  ][] = [
    [
      "malformed JSON",
      (program) => caller.send("POST", "/v1/chat/completions", "{", { "tulipwheel-program": program }),
      400,
      "invalid-request",
    ],
    ["no program header", () => caller.send("POST", "/v1/chat/completions", {}), 400, "invalid-request"],
    ["a program that does not exist", () => caller.chat("prog-aaaaaaaaaaaaaaaa", "x"), 404, "not-found"],
    ["a malformed program identifier", () => caller.chat("../../etc", "x"), 400, "invalid-request"],
    [
      "another tenant's program",
      (program) => caller.chat(program, "x", {}, { "tulipwheel-tenant": "rateora" }),
      403,
      "foreign-program",
    ],
    ["an unknown model", (program) => caller.chat(program, "x", { model: "other" }), 422, "unknown-model"],
    [
      "an unknown service",
      (program) => caller.send("GET", "/v1/services/other/x", undefined, { "tulipwheel-program": program }),
      422,
      "unknown-service",
    ],
    [
      "an unknown template",
      () => caller.send("POST", "/v1/programs", { template: "none" }),
      422,
      "unknown-template",
    ],
    [
      "an unknown field",
      () => caller.send("POST", "/v1/programs", { template: "pay-run", colour: 1 }),
      400,
      "invalid-request",
    ],
    [
      "an invalid call number",
      (program) => caller.chat(program, "x", {}, { "tulipwheel-call": "-1" }),
      400,
      "invalid-request",
    ],
    [
      "a call number far ahead",
      (program) => caller.chat(program, "x", {}, { "tulipwheel-call": "9" }),
      409,
      "call-out-of-order",
    ],
    [
      "a body that is too large",
      (program) => caller.chat(program, "x".repeat(5_000_000)),
      413,
      "body-too-large",
    ],
    [
      "tools that are not supported",
      (program) => caller.chat(program, "x", { tools: [] }),
      400,
      "invalid-request",
    ],
  ];

  for (const [name, request, status, kind] of BAD_REQUESTS) {
    it(`refuses ${name}`, async () => {
      const reply = await request(await caller.open("pay-run"));
      expect([reply.status, JSON.parse(reply.text).kind, JSON.parse(reply.text).outcome]).toEqual([
        status,
        kind,
        "not-run",
      ]);
    });
  }

  it("refuses a call number that was used with another body", async () => {
    const program = await caller.open("pay-run");
    await caller.chat(program, "one #tokens=3", {}, { "tulipwheel-call": "1" });
    const reply = await caller.chat(program, "other", {}, { "tulipwheel-call": "1" });
    expect(problemOfReply(reply).kind).toEqual("call-conflict");
  });

  it("refuses calls after a program has ended, and releases its memory on the engines", async () => {
    const program = await caller.open("pay-run");
    await caller.chat(program, "hold #tokens=3");
    await caller.send("DELETE", `/v1/programs/${program}`);
    expect(problemOfReply(await caller.chat(program, "x")).kind).toEqual("program-ended");
    const deadline = performance.now() + 5_000;
    while (performance.now() < deadline && (await countHolds(cluster, program)) > 0);
    expect(await countHolds(cluster, program)).toEqual(0);
  });
});

async function countHolds(cluster: Cluster, program: string): Promise<number> {
  let holds = 0;
  for (const engine of cluster.engines) {
    const held = (await (await fetch(`http://${engine.address}/holds`)).json()) as { program: string }[];
    holds += held.filter((hold) => hold.program === program).length;
  }
  return holds;
}
