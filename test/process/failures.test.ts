/** Tests a cluster of real processes while some are killed, suspended or stopped under load. */

import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { knownRed } from "../support/known-red.ts";
import { answerOf, Caller, problemOfReply, streamedAnswerOf } from "./support/caller.ts";
import { Cluster, type ClusterProcess, pause } from "./support/cluster.ts";

const ENGINES = ["runner-1", "runner-2", "runner-3"].map((name) => ({
  name,
  models: ["agent-llm"],
  stepMs: 15,
}));
const FIND_TIMEOUT_MS = 3_000;
const FIND_PAUSE_MS = 20;
/** Number of programs in a row that the callers' node may lead before callers switch to another node. */
const TRIES_BEFORE_SWITCH = 20;
const TEMPLATES = "examples/magnolia/templates.yaml";

const SUSPENDED =
  "completes a call while the node that runs it is suspended, and keeps the history correct after it resumes";
const CHARGE =
  "runs a charge once and reports an unknown outcome when the leader is killed during the charge";

describe("process failures", () => {
  let cluster: Cluster;
  /** The node that callers use unless a test says otherwise. It is never stopped or killed while they use it. */
  let accessNode: ClusterProcess;
  let caller: Caller;

  /** Opens a program whose leader is not `accessNode`, so that the leader can fail without the callers' node. */
  async function openProgramWithOtherLeader(): Promise<string> {
    for (let tried = 1; ; tried += 1) {
      if (tried % TRIES_BEFORE_SWITCH === 0) switchAccessNode();
      const program = await caller.open("pay-run");
      const running = caller.chat(program, "who leads #tokens=20", {}, { "idempotency-key": "who-leads" });
      const leader = await findBusyNode(cluster);
      await running;
      if (leader !== accessNode) return program;
    }
  }

  /**
   * Switches callers to another node. When the machine is under load, one node may become the leader of all shards at
   * the start of the cluster. If callers use that node, no program ever has another leader.
   */
  function switchAccessNode(): void {
    accessNode = cluster.nodes.find((node) => node !== accessNode) ?? accessNode;
    caller = new Caller(accessNode.callers);
  }

  /**
   * Starts a call that a node other than the caller's runs. Under load, leadership may move between the opening of a
   * program and its next call. In that case, waits for the call to end and tries another program.
   */
  async function startCallOnOtherNode<Reply>(begin: (program: string) => Promise<Reply>, pauseMs: number) {
    for (;;) {
      const program = await openProgramWithOtherLeader();
      const running = begin(program);
      await pause(pauseMs);
      const victim = await findBusyNode(cluster);
      if (victim !== accessNode) return { program, running, victim };
      await running;
    }
  }

  /** Expects a program's history to be the turn of {@link openProgramWithOtherLeader}, followed by `texts`. */
  async function expectHistory(program: string, texts: readonly string[]): Promise<void> {
    const [question, answer, ...rest] = await caller.history(program);
    expect([question, answer.length]).toEqual(["who leads #tokens=20", 20 * 4]);
    expect(rest).toEqual([...texts]);
  }

  before(async () => {
    cluster = await Cluster.start({ nodes: 5, engines: ENGINES, services: 1, shards: 6 });
    accessNode = cluster.nodes[4];
    caller = new Caller(accessNode.callers);
    expect((await cluster.runCommand("template", "apply", TEMPLATES)).code).toEqual(0);
  });

  after(() => cluster.stop());

  it("streams a complete answer although the node that runs the call is killed", async () => {
    const text = "kill my leader #tokens=120";
    const { program, running, victim } = await startCallOnOtherNode(
      (led) => caller.chat(led, text, { stream: true, max_tokens: 200 }),
      500,
    );
    await victim.process.kill();
    cluster.nodes.splice(cluster.nodes.indexOf(victim), 1);
    const answer = streamedAnswerOf(await running);
    expect(answer.length).toEqual(120 * 4);
    await expectHistory(program, ["kill my leader #tokens=120", answer]);
    await cluster.startNode(5);
    await cluster.ready();
  });

  it(SUSPENDED, knownRed(SUSPENDED), async () => {
    const text = "freeze my leader #tokens=100";
    const { program, running, victim } = await startCallOnOtherNode(
      (led) => caller.chat(led, text, { stream: true, max_tokens: 200 }),
      400,
    );
    victim.process.signal("SIGSTOP");
    const answer = streamedAnswerOf(await running.finally(() => victim.process.signal("SIGCONT")));
    const second = answerOf(await caller.chat(program, "after it woke #tokens=5"));
    const expected = ["freeze my leader #tokens=100", answer, "after it woke #tokens=5", second];
    await expectHistory(program, expected);
  });

  it("continues a stream on another engine when its engine is killed", async () => {
    const program = await caller.open("pay-run");
    const running = caller.chat(program, "kill my engine #tokens=100", { stream: true, max_tokens: 200 });
    await pause(500);
    const victim = await findBusyEngine(cluster);
    await victim.process.kill();
    const answer = streamedAnswerOf(await running);
    expect(answer.length).toEqual(100 * 4);
    cluster.engines.splice(cluster.engines.indexOf(victim), 1);
  });

  it(CHARGE, knownRed(CHARGE), async () => {
    await setServiceDelay(cluster, 2_000);
    let charges = 0;
    const { running, victim } = await startCallOnOtherNode((led) => {
      charges += 1;
      return caller.service(led, "POST", "/charges", `charge-of-the-dead-leader-${charges}`);
    }, 500);
    await victim.process.kill();
    cluster.nodes.splice(cluster.nodes.indexOf(victim), 1);
    const reply = await running;
    expect([reply.status, problemOfReply(reply).outcome]).toEqual([504, "unknown"]);
    await setServiceDelay(cluster, 0);
    await pause(2_000);
    expect(await countRuns(cluster, `charge-of-the-dead-leader-${charges}`)).toEqual(1);
    await cluster.startNode(6);
    await cluster.ready();
  });

  it("cuts no request when nodes are stopped one after another under load", async () => {
    const victims = cluster.nodes.filter((node) => node !== accessNode).slice(0, 2);
    const load = new Load(caller);
    load.start(6);
    for (const [index, victim] of victims.entries()) {
      await pause(500);
      victim.process.signal("SIGTERM");
      expect(await victim.process.exited).toEqual(0);
      cluster.nodes.splice(cluster.nodes.indexOf(victim), 1);
      await cluster.startNode(10 + index);
      await cluster.ready();
    }
    const statuses = await load.stop();
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect(statuses.length > 20).toEqual(true);
  });

  it("completes requests in progress when the callers' node is stopped", async () => {
    const other = await cluster.startNode(20);
    await cluster.ready();
    const second = new Caller(other.callers);
    const program = await second.open("pay-run");
    const running = second.chat(program, "stop my node #tokens=80", { stream: true, max_tokens: 200 });
    await pause(300);
    cluster.nodes.splice(cluster.nodes.indexOf(other), 1);
    other.process.signal("SIGTERM");
    expect(streamedAnswerOf(await running).length).toEqual(80 * 4);
    expect(await other.process.exited).toEqual(0);
  });

  it("lists node addresses for callers, their zone first, without nodes that are stopping", async () => {
    const other = await cluster.startNode(22, { zone: "zone-of-the-caller" });
    const listed = cluster.nodes.map((node) => node.callers).sort();
    await waitForAddresses(accessNode, (addresses) => addresses.sort().join() === listed.join());
    expect((await fetchAddresses(accessNode, "zone-of-the-caller"))[0]).toEqual(other.callers);
    cluster.nodes.splice(cluster.nodes.indexOf(other), 1);
    other.process.signal("SIGTERM");
    await waitForAddresses(accessNode, (addresses) => !addresses.includes(other.callers));
    expect(await other.process.exited).toEqual(0);
  });

  it("lets a caller repeat its request at another node when its own is killed", async () => {
    const other = await cluster.startNode(21);
    await cluster.ready();
    const program = await caller.open("pay-run");
    const headers = { "idempotency-key": "turn-1" };
    const content = "kill my node #tokens=60";
    const cut = new Caller(other.callers)
      .chat(program, content, { stream: true }, headers)
      .catch(() => undefined);
    await pause(400);
    await other.process.kill();
    cluster.nodes.splice(cluster.nodes.indexOf(other), 1);
    expect(await cut).toEqual(undefined);
    const answer = streamedAnswerOf(await caller.chat(program, content, { stream: true }, headers));
    expect(await caller.history(program)).toEqual([content, answer]);
  });

  it("frees the engine when a caller disconnects in the middle of a stream", async () => {
    const program = await caller.open("pay-run");
    const abort = new AbortController();
    const response = await fetch(`http://${accessNode.callers}/v1/chat/completions`, {
      method: "POST",
      headers: { "tulipwheel-program": program },
      body: JSON.stringify({
        model: "agent-llm",
        messages: [{ role: "user", content: "#tokens=400" }],
        max_tokens: 500,
        stream: true,
      }),
      signal: abort.signal,
    });
    expect(response.status).toEqual(200);
    abort.abort();
    await pause(1_500);
    expect(
      (await Promise.all(cluster.engines.map(countRunningCalls))).reduce((sum, count) => sum + count, 0),
    ).toEqual(0);
    expect(answerOf(await caller.chat(program, "next #tokens=3")).length).toEqual(3 * 4);
  });

  it("answers 408 to a caller that sends its body too slowly", async () => {
    const slow = await cluster.startNode(23, { "ingress.limits.requestMs": 1_500 });
    const [host, port] = slow.callers.split(":");
    const socket = connect(Number(port), host);
    socket.write("POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n");
    const drip = setInterval(() => socket.write("x"), 500);
    const startMs = performance.now();
    const text = await new Promise<string>((resolve) => socket.once("data", (data) => resolve(String(data))));
    clearInterval(drip);
    socket.destroy();
    expect(text.startsWith("HTTP/1.1 408")).toEqual(true);
    expect(text.includes('"kind":"request-timeout"')).toEqual(true);
    expect(performance.now() - startMs < 5_000).toEqual(true);
  });

  it("keeps serving with its current configuration while the table store is unavailable", async () => {
    await setFaults(cluster.table.address, { outage: true });
    const program = await caller.open("pay-run");
    expect((await caller.chat(program, "no table #tokens=5")).status).toEqual(200);
    const refused = await cluster.runCommand("template", "apply", TEMPLATES);
    expect(refused.code).toEqual(5);
    await setFaults(cluster.table.address, { outage: false });
  });
});

/** Generates load: programs that each send one turn after another. */
class Load {
  readonly #caller: Caller;
  readonly #statuses: number[] = [];
  #running: Promise<void>[] = [];
  #stopped = false;

  constructor(caller: Caller) {
    this.#caller = caller;
  }

  start(programs: number): void {
    this.#running = Array.from({ length: programs }, () => this.#runPrograms());
  }

  async stop(): Promise<number[]> {
    this.#stopped = true;
    await Promise.all(this.#running);
    return this.#statuses;
  }

  async #runPrograms(): Promise<void> {
    while (!this.#stopped) {
      const opened = await this.#caller.send("POST", "/v1/programs", { template: "pay-run" });
      if (opened.status !== 201) {
        this.#statuses.push(opened.status);
        continue;
      }
      const { id } = JSON.parse(opened.text) as { id: string };
      for (let turn = 0; turn < 3; turn++) {
        const reply = await this.#caller.chat(id, `turn ${turn} #tokens=20`);
        this.#statuses.push(reply.status);
      }
    }
  }
}

/** Returns the addresses that a node lists for callers in a zone. */
async function fetchAddresses(node: ClusterProcess, zone: string): Promise<string[]> {
  const reply = await fetch(`http://${node.callers}/v1/addresses?zone=${zone}`);
  return ((await reply.json()) as { addresses: string[] }).addresses;
}

/** Waits until the addresses that a node lists satisfy a predicate. */
async function waitForAddresses(
  node: ClusterProcess,
  holds: (addresses: string[]) => boolean,
): Promise<void> {
  const deadline = performance.now() + FIND_TIMEOUT_MS;
  while (!holds(await fetchAddresses(node, "zone-0"))) {
    if (performance.now() > deadline)
      throw new Error("The node did not list the expected addresses in time.");
    await pause(FIND_PAUSE_MS);
  }
}

/** Returns the node that is running a call. */
function findBusyNode(cluster: Cluster): Promise<ClusterProcess> {
  return waitForProcess(cluster.nodes, async (node) => {
    const metrics = await (await fetch(`http://${node.metrics}/metrics`)).text();
    return Number(/^tulipwheel_active_calls (\d+)/m.exec(metrics)?.[1]) > 0;
  });
}

function findBusyEngine(cluster: Cluster): Promise<ClusterProcess> {
  return waitForProcess(cluster.engines, async (engine) => (await countRunningCalls(engine)) > 0);
}

/** Returns a process that satisfies a predicate. Polls all at once for a while, because reports lag and calls are short. */
async function waitForProcess(
  processes: readonly ClusterProcess[],
  holds: (one: ClusterProcess) => Promise<boolean>,
): Promise<ClusterProcess> {
  const deadline = performance.now() + FIND_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const held = await Promise.all(processes.map(holds));
    const position = held.indexOf(true);
    if (position >= 0) return processes[position];
    await pause(FIND_PAUSE_MS);
  }
  throw new Error("No process satisfied the predicate in time.");
}

async function countRunningCalls(engine: ClusterProcess): Promise<number> {
  const load = (await (await fetch(`http://${engine.address}/load`)).json()) as { running: string[] };
  return load.running.length;
}

async function setFaults(address: string, faults: object): Promise<void> {
  await fetch(`http://${address}/faults`, { method: "POST", body: JSON.stringify(faults) });
}

function setServiceDelay(cluster: Cluster, delayMs: number): Promise<void> {
  return setFaults(cluster.services[0].address, { delayMs });
}

async function countRuns(cluster: Cluster, body: string): Promise<number> {
  const ledger = (await (await fetch(`http://${cluster.services[0].address}/ledger`)).json()) as {
    body: string;
  }[];
  return ledger.filter((call) => call.body === JSON.stringify(body) || call.body === body).length;
}
