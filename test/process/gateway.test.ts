/** Tests gateways as separate processes: what callers and runners observe during kills, stops and store failures. */
import { createServer } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { request } from "undici";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";
import { call, newRequestId, turn } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, TEST_HOST, type TestGateway } from "./support/gateway-cluster.ts";
import { TestAddresses } from "./support/test-addresses.ts";

const TOKENS_PER_EVENT = 10;
const NOT_FOUND = 404;
const BUDGET_EXHAUSTED = 402;

let cluster: GatewayCluster;

function gateway(index: number): TestGateway {
  return cluster.gateways[index % cluster.gateways.length] as TestGateway;
}

/** Repeats a request while its answer is 503 (nothing was run) or there is none, for at most ten seconds. */
async function retryWhileUnavailable<Answer extends { status: number }>(
  ask: () => Promise<Answer>,
): Promise<Answer> {
  const untilMs = performance.now() + 10_000;
  for (;;) {
    const answer = await ask();
    if ((answer.status !== 503 && answer.status !== 0) || performance.now() > untilMs) return answer;
    await pause(50);
  }
}

function countEvents(body: string): number {
  return body.split("\n\n").length - 1;
}

function fullStream(id: string, events: number): string {
  const parts = Array.from({ length: events }, (_, index) => {
    return `id: ${index + 1}\ndata: ${RunnerStandin.eventData(id, index + 1)}\n\n`;
  });
  return parts.join("");
}

describe("gateways", () => {
  afterEach(() => cluster?.stop());

  it("forward requests and answers unchanged, and streams event by event", async () => {
    cluster = await GatewayCluster.start(1, 1, 1);
    const id = newRequestId();
    const plain = await call(gateway(0), `${PATHS.unsafe}x?y=1`, id);
    expect([plain.status, plain.body]).toEqual([200, `done ${id}`]);
    expect(plain.headers["x-response-signature"]).toEqual(`api-0.${id}`);
    const [ran] = cluster.services[0]?.executedRequests ?? [];
    expect([ran?.method, ran?.target, ran?.body]).toEqual(["POST", `${PATHS.unsafe}x?y=1`, `input of ${id}`]);
    expect((ran?.deadlineMs ?? 0) <= 3_000).toEqual(true);
    const streamed = await turn(gateway(0), PATHS.turn, newRequestId(), { program: "p" });
    expect([streamed.status, countEvents(streamed.body)]).toEqual([200, 4]);
    expect((await call(gateway(0), "/none/", newRequestId())).status).toEqual(NOT_FOUND);
  });

  it("never give a program more tokens than its budget, whichever gateways it uses", async () => {
    cluster = await GatewayCluster.start(3, 2, 0);
    const options = { program: "looping", budget: 200, maxTokens: 40 };
    const asks = Array.from({ length: 12 }, (_, index) =>
      turn(gateway(index), PATHS.turn, newRequestId(), options),
    );
    const answers = await Promise.all(asks);
    for (let index = 0; index < 12; index += 1) {
      answers.push(await turn(gateway(index), PATHS.turn, newRequestId(), options));
    }
    const tokens = answers.reduce((sum, { body, status }) => {
      return sum + (status === 200 ? countEvents(body) * TOKENS_PER_EVENT : 0);
    }, 0);
    expect(tokens).toEqual(200);
    expect(answers.at(-1)?.status).toEqual(BUDGET_EXHAUSTED);
  });

  it("enforce the budget after all gateways were killed and restarted", async () => {
    cluster = await GatewayCluster.start(3, 2, 0);
    const options = { program: "looping", budget: 200, maxTokens: 40 };
    for (let index = 0; index < 3; index += 1) {
      expect((await turn(gateway(index), PATHS.turn, newRequestId(), options)).status).toEqual(200);
    }
    await cluster.killAll();
    await cluster.restartAll();
    let tokens = 3 * 40;
    for (let index = 0; index < 6; index += 1) {
      const answer = await retryWhileUnavailable(() =>
        turn(gateway(index), PATHS.turn, newRequestId(), options),
      );
      if (answer.status === 200) tokens += countEvents(answer.body) * TOKENS_PER_EVENT;
      else expect(answer.status).toEqual(BUDGET_EXHAUSTED);
    }
    expect(tokens <= 200).toEqual(true);
  });

  it("send the runner the history of retained turns, also after all gateways were killed", async () => {
    cluster = await GatewayCluster.start(2, 1, 0);
    const first = newRequestId();
    expect((await turn(gateway(0), PATHS.kept, first, { program: "p" })).status).toEqual(200);
    const forged = { program: "p", previous: "never-said" };
    expect(
      (await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, newRequestId(), forged))).status,
    ).toEqual(NOT_FOUND);
    await cluster.killAll();
    await cluster.restartAll();
    const second = newRequestId();
    const next = { program: "p", previous: first };
    const answer = await retryWhileUnavailable(() => turn(gateway(1), PATHS.kept, second, next));
    expect(answer.status).toEqual(200);
    const output = [1, 2, 3, 4].map((event) => `${RunnerStandin.eventData(first, event)}\n`).join("");
    const ran = cluster.engines[0]?.executedRequests.find((one) => one.id === second);
    expect(ran?.body).toEqual(`input of ${first}\n${output}input of ${second}\n`);
    const foreign = { program: "another program", previous: second };
    expect(
      (await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, newRequestId(), foreign))).status,
    ).toEqual(200);
    // The store holds every turn that was answered completely, so a turn that it does not hold never took place.
    expect(
      (await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, newRequestId(), forged))).status,
    ).toEqual(NOT_FOUND);
  });

  it("resume a broken stream at the runner that has it", async () => {
    cluster = await GatewayCluster.start(1, 2, 0);
    for (const engine of cluster.engines) {
      engine.fault = "breakStream";
      engine.remainingFaults = 1;
    }
    const id = newRequestId();
    const answer = await turn(gateway(0), PATHS.turn, id, { program: "p" });
    expect([answer.status, answer.body]).toEqual([200, fullStream(id, 4)]);
    const runners = cluster.engines.filter((engine) => engine.executedRequests.some((one) => one.id === id));
    expect(runners.length).toEqual(1);
    expect(runners[0]?.executedRequests.map((one) => one.lastEventId)).toEqual([undefined, 2]);
  });

  it("run unsafe calls at most once, and answer 502 (unknown outcome) when the runner's answer is lost", async () => {
    cluster = await GatewayCluster.start(1, 0, 2);
    const cases = ["lostAnswer", "otherRequest", "unframedReset"] as const;
    for (const fault of cases) {
      for (const service of cluster.services) service.fault = fault;
      const id = newRequestId();
      const { status } = await call(gateway(0), PATHS.unsafe, id);
      expect([fault, status]).toEqual([fault, 502]);
      const runs = cluster.services.flatMap((service) =>
        service.executedRequests.filter((one) => one.id === id),
      );
      expect(runs.length).toEqual(1);
    }
  });

  it("retry safe calls up to the route's maximum number of attempts", async () => {
    cluster = await GatewayCluster.start(1, 0, 2);
    for (const service of cluster.services) {
      service.fault = "lostAnswer";
      service.remainingFaults = 1;
    }
    const id = newRequestId();
    // Both runners lose their first answer, and the route allows only two attempts.
    expect((await call(gateway(0), PATHS.safe, id)).status).toEqual(502);
    expect((await call(gateway(0), PATHS.safe, newRequestId())).status).toEqual(200);
  });

  it("retry safe calls at another runner when one is silent, but no unsafe calls", async () => {
    cluster = await GatewayCluster.start(1, 0, 2);
    const [silent, healthy] = cluster.services;
    if (!silent || !healthy) throw new Error("two services were started");
    silent.fault = "silent";
    const startedMs = performance.now();
    const ids = Array.from({ length: 8 }, () => newRequestId());
    const answers = await Promise.all(ids.map((id) => call(gateway(0), PATHS.safe, id)));
    expect(answers.map(({ status }) => status)).toEqual(ids.map(() => 200));
    expect(performance.now() - startedMs < 2_000).toEqual(true);
    expect(silent.executedRequests.length > 0).toEqual(true);
    const once = Array.from({ length: 8 }, () => newRequestId());
    await Promise.all(once.map((id) => call(gateway(0), PATHS.unsafe, id)));
    const ran = [...silent.executedRequests, ...healthy.executedRequests]
      .map(({ id }) => id)
      .filter((id) => once.includes(id));
    expect(ran.length).toEqual(new Set(ran).size);
  });

  it("do not take a surplus answer for the answer to the next request", async () => {
    cluster = await GatewayCluster.start(1, 0, 1);
    const [service] = cluster.services;
    if (service) service.fault = "surplus";
    for (let count = 0; count < 20; count += 1) {
      const id = newRequestId();
      const answer = await call(gateway(0), PATHS.safe, id);
      if (answer.status === 200) expect(answer.body).toEqual(`done ${id}`);
    }
  });

  it("refuse with 503 and a Retry-After header, running nothing, when every runner is full", async () => {
    cluster = await GatewayCluster.start(1, 0, 2);
    for (const service of cluster.services) service.fault = "full";
    const answer = await call(gateway(0), PATHS.unsafe, newRequestId());
    expect(answer.status).toEqual(503);
    expect(Number(answer.headers["retry-after"]) > 0).toEqual(true);
    expect(cluster.services.flatMap((service) => service.executedRequests)).toEqual([]);
  });

  it("end a request at its route's timeout, and cancel the runner's work", async () => {
    cluster = await GatewayCluster.start(1, 1, 1);
    cluster.configure({ version: 2, timeoutMs: 300 });
    await pause(1_000);
    for (const runner of [...cluster.services, ...cluster.engines]) runner.fault = "silent";
    const startedMs = performance.now();
    expect((await call(gateway(0), PATHS.unsafe, newRequestId())).status).toEqual(504);
    expect((await turn(gateway(0), PATHS.turn, newRequestId(), { program: "p" })).status).toEqual(504);
    expect(performance.now() - startedMs < 1_500).toEqual(true);
    await pause(100);
    expect(cluster.services[0]?.executedRequests.map((one) => one.cancelled)).toEqual([true]);
    expect(cluster.engines[0]?.executedRequests.map((one) => one.cancelled)).toEqual([true]);
  });

  it("cancel the runner's work when the caller disconnects", async () => {
    cluster = await GatewayCluster.start(1, 0, 1);
    const [service] = cluster.services;
    if (service) service.fault = "silent";
    const leaving = new AbortController();
    const asked = request(`http://${gateway(0).addresses.callers}${PATHS.safe}`, {
      headers: { host: TEST_HOST, "X-Request-Id": newRequestId(), "X-Deadline-Ms": "3000" },
      signal: leaving.signal,
    }).catch(() => undefined);
    await pause(300);
    leaving.abort();
    await asked;
    await pause(300);
    expect(service?.executedRequests.map((one) => one.cancelled)).toEqual([true]);
  });

  it("stop on SIGTERM without interrupting a request, and leave the directory at once", async () => {
    cluster = await GatewayCluster.start(2, 1, 0);
    const [engine] = cluster.engines;
    if (engine) engine.stepMs = 300;
    const id = newRequestId();
    const asked = turn(gateway(0), PATHS.turn, id, { program: "p" });
    await pause(200);
    gateway(0).process.signal("SIGTERM");
    await pause(200);
    const ready = await request(`http://${gateway(0).addresses.readiness}/tulipwheel/readyz`);
    expect(ready.statusCode).toEqual(503);
    expect(await cluster.directory(gateway(1))).toEqual([gateway(1).addresses.callers]);
    expect(await asked.then(({ status, body }) => [status, body])).toEqual([200, fullStream(id, 4)]);
    expect(await gateway(0).process.exited).toEqual(0);
    const after = await retryWhileUnavailable(() =>
      turn(gateway(1), PATHS.turn, newRequestId(), { program: "p" }),
    );
    expect(after.status).toEqual(200);
  });

  it("apply a configuration within two seconds, also after the store has compacted its history", async () => {
    cluster = await GatewayCluster.start(2, 0, 1);
    const [service] = cluster.services;
    if (service) service.fault = "silent";
    let version = 2;
    for (const compact of [false, true]) {
      cluster.configure({ version, timeoutMs: version * 100 });
      if (compact) cluster.store.model.compact();
      await pause(2_000);
      for (const one of cluster.gateways) {
        const startedMs = performance.now();
        await call(one, PATHS.unsafe, newRequestId());
        const tookMs = performance.now() - startedMs;
        expect(tookMs > version * 100 - 20 && tookMs < version * 100 + 200).toEqual(true);
      }
      version += 2;
    }
  });

  it("send nothing new to a draining runner", async () => {
    cluster = await GatewayCluster.start(1, 0, 2);
    const [leaving, staying] = cluster.services;
    if (!leaving || !staying) throw new Error("two services were started");
    cluster.listRunner(leaving, "api", "draining");
    await pause(500);
    for (let count = 0; count < 10; count += 1) await call(gateway(0), PATHS.unsafe, newRequestId());
    expect([leaving.executedRequests.length, staying.executedRequests.length]).toEqual([0, 10]);
  });

  it("resume a stream at once when its runner has restarted under the same name", async () => {
    cluster = await GatewayCluster.start(1, 1, 0);
    const [engine] = cluster.engines;
    if (!engine) throw new Error("an engine was started");
    cluster.listRunner(engine, "engine", "ready", { born: 1_000 });
    await pause(500);
    engine.fault = "silent";
    engine.remainingFaults = 1;
    const id = newRequestId();
    const startedMs = performance.now();
    const asked = turn(gateway(0), PATHS.turn, id, { program: "p" });
    while (engine.executedRequests.length === 0) await pause(10);
    cluster.listRunner(engine, "engine", "ready", { born: 2_000 });
    expect(await asked.then(({ status, body }) => [status, body])).toEqual([200, fullStream(id, 4)]);
    expect(performance.now() - startedMs < 2_000).toEqual(true);
    expect(engine.executedRequests.map((ran) => ran.headers["x-expect-instance"])).toEqual([
      engine.id,
      engine.id,
    ]);
  });

  it("send nothing to a runner whose row has an unknown state or a field of the wrong type", async () => {
    cluster = await GatewayCluster.start(1, 0, 3);
    const [asleep, malformed, staying] = cluster.services;
    if (!asleep || !malformed || !staying) throw new Error("three services were started");
    cluster.listRunner(asleep, "api", "ready", { state: "asleep" });
    cluster.listRunner(malformed, "api", "ready", { slots: "8" });
    await pause(500);
    for (let count = 0; count < 10; count += 1) await call(gateway(0), PATHS.unsafe, newRequestId());
    expect([
      asleep.executedRequests.length,
      malformed.executedRequests.length,
      staying.executedRequests.length,
    ]).toEqual([0, 0, 10]);
  });

  it("serve what is reserved while the store is down, and refuse other programs at once, as a single gateway", async () => {
    cluster = await GatewayCluster.start(1, 1, 1);
    const options = { program: "p", budget: 10_000, maxTokens: 40 };
    await turn(gateway(0), PATHS.turn, newRequestId(), options);
    cluster.store.fault = "silent";
    expect((await turn(gateway(0), PATHS.turn, newRequestId(), options)).status).toEqual(200);
    expect((await call(gateway(0), PATHS.unsafe, newRequestId())).status).toEqual(200);
    const startedMs = performance.now();
    const refused = await turn(gateway(0), PATHS.turn, newRequestId(), { ...options, program: "new" });
    expect(refused.status).toEqual(503);
    expect(Number(refused.headers["retry-after"]) > 0).toEqual(true);
    expect(performance.now() - startedMs < 2_500).toEqual(true);
    cluster.store.fault = "none";
    const again = await retryWhileUnavailable(() =>
      turn(gateway(0), PATHS.turn, newRequestId(), { ...options, program: "new" }),
    );
    expect(again.status).toEqual(200);
  });

  it("end no answer before its turn is stored, so that no turn is lost when all gateways are killed", async () => {
    cluster = await GatewayCluster.start(3, 1, 0);
    const options = { program: "p", budget: 10_000, maxTokens: 40 };
    const first = newRequestId();
    expect((await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, first, options))).status).toEqual(
      200,
    );
    cluster.store.fault = "silent";
    const held = turn(gateway(1), PATHS.kept, newRequestId(), { ...options, previous: first });
    await pause(1_200);
    await cluster.killAll();
    expect((await held).status).toEqual(0);
    cluster.store.fault = "none";
    await cluster.restartAll();
    const after = { ...options, previous: first };
    expect(
      (await retryWhileUnavailable(() => turn(gateway(2), PATHS.kept, newRequestId(), after))).status,
    ).toEqual(200);
  });

  it("complete an answer once the store is back, and retain its turn if all gateways are killed right after", async () => {
    cluster = await GatewayCluster.start(3, 1, 0);
    const options = { program: "p", budget: 10_000, maxTokens: 40, deadlineMs: 5_000 };
    const first = newRequestId();
    expect((await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, first, options))).status).toEqual(
      200,
    );
    cluster.store.fault = "silent";
    const second = newRequestId();
    const startedMs = performance.now();
    const held = turn(gateway(1), PATHS.kept, second, { ...options, previous: first });
    await pause(1_000);
    cluster.store.fault = "none";
    expect((await held).status).toEqual(200);
    expect(performance.now() - startedMs >= 1_000).toEqual(true);
    await cluster.killAll();
    await cluster.restartAll();
    const after = { ...options, previous: second };
    expect(
      (await retryWhileUnavailable(() => turn(gateway(0), PATHS.kept, newRequestId(), after))).status,
    ).toEqual(200);
  });

  it("move a killed gateway's programs to other gateways within seconds", async () => {
    cluster = await GatewayCluster.start(3, 1, 0);
    const programs = Array.from({ length: 12 }, (_, index) => `p-${index}`);
    for (const program of programs) await turn(gateway(1), PATHS.turn, newRequestId(), { program });
    await gateway(0).process.kill();
    const startedMs = performance.now();
    for (const program of programs) {
      const answer = await retryWhileUnavailable(() =>
        turn(gateway(1), PATHS.turn, newRequestId(), { program }),
      );
      expect(answer.status).toEqual(200);
    }
    expect(performance.now() - startedMs < 4_000).toEqual(true);
  });

  it("keep serving while nothing reads their log output", async () => {
    cluster = await GatewayCluster.start(1, 0, 1);
    const [service] = cluster.services;
    if (service) service.fault = "full";
    gateway(0).process.stopReadingOutput();
    const PIPE_BYTES = 65_536;
    const LEAST_LINE_BYTES = 100;
    let answered = 0;
    for (let round = 0; round < 12; round += 1) {
      const ids = Array.from({ length: PIPE_BYTES / LEAST_LINE_BYTES / 4 }, () => newRequestId());
      const answers = await Promise.all(ids.map((id) => call(gateway(0), PATHS.safe, id)));
      answered += answers.filter(({ status }) => status === 503).length;
      expect(answers.every(({ status }) => status === 503)).toEqual(true);
    }
    expect(answered * LEAST_LINE_BYTES > 2 * PIPE_BYTES).toEqual(true);
  });

  it("serve counters and latency histograms at the configured metrics address", async () => {
    cluster = await GatewayCluster.start(1, 1, 1);
    await turn(gateway(0), PATHS.turn, newRequestId(), { program: "p" });
    await call(gateway(0), PATHS.unsafe, newRequestId());
    const { body } = await request(`http://${gateway(0).addresses.metrics}/metrics`);
    const text = await body.text();
    expect(text).toMatchRegex(/gateway_calls_total\{route="turn",status="200",kind="answered"\} 1/);
    expect(text).toMatchRegex(/gateway_admission_seconds_count\{answer="granted"\} 1/);
    expect(text).toMatchRegex(/gateway_store_write_seconds_count\{outcome="committed"\} [1-9]/);
    expect(text).toMatchRegex(/gateway_first_byte_seconds_bucket/);
    expect(text).toMatchRegex(/gateway_partitions 4/);
  });

  it("write one log line per call, with the inputs of its decisions", async () => {
    cluster = await GatewayCluster.start(1, 1, 0);
    const id = newRequestId();
    await turn(gateway(0), PATHS.turn, id, { program: "p" });
    await pause(500);
    const lines = gateway(0)
      .process.collectedOutput.split("\n")
      .filter((line) => line.includes(`"${id}"`));
    expect(lines.length).toEqual(1);
    expect(JSON.parse(lines[0] ?? "{}")).toLooseEqual({
      ...JSON.parse(lines[0] ?? "{}"),
      msg: "call answered",
      program: "p",
      status: 200,
      configuration: 1,
    });
    expect(lines[0]).toMatchRegex(/"admission":\{"partition":\d+,"owner":"gateway-1#\w+","answer":"granted"/);
    const [engine] = cluster.engines;
    if (engine) engine.fault = "full";
    const refused = newRequestId();
    expect((await turn(gateway(0), PATHS.turn, refused, { program: "p" })).status).toEqual(503);
    await pause(500);
    const line = gateway(0)
      .process.collectedOutput.split("\n")
      .find((candidate) => candidate.includes(`"${refused}"`));
    expect(line ?? "").toMatchRegex(/"status":503,"kind":"overloaded".*"failure":"not run, status 503"/);
    expect(lines[0]).toMatchRegex(/"tries":\[\{"runner":"engine-0","load":\d+,"failureRate":0/);
  });

  it("leave no process behind when a test cluster fails to start", async () => {
    const taken = createServer();
    const first = new TestAddresses().next();
    const [ip, port] = first.split(":");
    await new Promise<void>((resolve) => taken.listen(Number(port), ip, resolve));
    const addresses = new TestAddresses();
    // Gives the gateway the address that is already in use.
    addresses.next = () => first;
    const startedMs = performance.now();
    await expect(GatewayCluster.start(1, 1, 0, addresses)).toBeRejectedWith("EADDRINUSE");
    expect(performance.now() - startedMs < 10_000).toEqual(true);
    taken.close();
  });
});
