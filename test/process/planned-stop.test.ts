/** Tests what a planned stop of a gateway process leaves of the requests that it has taken. */
import { connect } from "node:net";
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { call, newRequestId } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, TEST_HOST, type TestGateway } from "./support/gateway-cluster.ts";
import { TestAddresses } from "./support/test-addresses.ts";

/** Time after SIGTERM until the platform's last sixth of the grace period begins, by the default settings. */
const LAST_SIXTH_MS = 6_667;
const DEADLINE_MS = 9_000;

class StoppingCluster extends GatewayCluster {
  static timing: object = {};

  static override async start(): Promise<StoppingCluster> {
    const started = new StoppingCluster(new TestAddresses());
    await started.startAll(1, 0, 1);
    started.configure({ version: 2, timeoutMs: DEADLINE_MS });
    await pause(500);
    return started;
  }

  protected override get extraSettings(): object {
    return { timing: StoppingCluster.timing };
  }
}

let cluster: GatewayCluster;

function gateway(): TestGateway {
  return cluster.gateways[0] as TestGateway;
}

async function startCluster(timing: object): Promise<void> {
  StoppingCluster.timing = timing;
  cluster = await StoppingCluster.start();
}

function letRunnersTake(stepMs: number): void {
  for (const runner of cluster.services) runner.stepMs = stepMs;
}

async function whenRunning(id: string): Promise<void> {
  while (!cluster.services.some(({ executedRequests }) => executedRequests.some((one) => one.id === id)))
    await pause(5);
}

/** Opens a connection; the returned function sends a request on it and reads until it ends. */
function openConnection(): (deadlineMs: number) => Promise<string> {
  const [host, port] = gateway().addresses.callers.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  return async (deadlineMs) => {
    const head = [`POST ${PATHS.unsafe} HTTP/1.1`, `Host: ${TEST_HOST}`, `X-Request-Id: ${newRequestId()}`];
    socket.write(`${head.join("\r\n")}\r\nX-Deadline-Ms: ${deadlineMs}\r\nContent-Length: 2\r\n\r\n{}`);
    let text = "";
    for await (const chunk of socket) text += String(chunk);
    return text;
  };
}

function acceptsConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => resolve(true));
    socket.on("connect", () => socket.destroy()).on("error", () => resolve(false));
  });
}

describe("a planned stop of a gateway", () => {
  afterEach(() => cluster?.stop());

  // Guards against a stop that ends by a time of its own, before the platform excuses unfinished requests.
  it("answers requests that their runner has done before the last sixth of the grace period", async () => {
    await startCluster({});
    const workMs = LAST_SIXTH_MS - 167;
    letRunnersTake(workMs);
    gateway().process.signal("SIGTERM");
    await pause(100);
    const answer = await call(gateway(), PATHS.unsafe, newRequestId(), DEADLINE_MS);
    expect(answer.status).toEqual(200);
  });

  it("answers requests that it has no time for as unknown, in place of closing their connections", async () => {
    await startCluster({ stopMs: 700, lingerMs: 100 });
    letRunnersTake(5_000);
    const id = newRequestId();
    const answering = call(gateway(), PATHS.unsafe, id, DEADLINE_MS);
    await whenRunning(id);
    gateway().process.signal("SIGTERM");
    const { status, body } = await answering;
    expect([status, body.includes("outcome-unknown")]).toEqual([502, true]);
  });

  it("refuses late requests that might be broken off, and serves those that can't", async () => {
    await startCluster({ stopMs: 3_000, lingerMs: 300 });
    letRunnersTake(2_000);
    const [sendLong, sendShort] = [openConnection(), openConnection()];
    const id = newRequestId();
    const answering = call(gateway(), PATHS.unsafe, id, DEADLINE_MS);
    await whenRunning(id);
    gateway().process.signal("SIGTERM");
    await pause(600);
    letRunnersTake(100);
    const [long, short] = await Promise.all([sendLong(DEADLINE_MS), sendShort(1_000)]);
    expect([long.startsWith("HTTP/1.1 503"), long.includes('"stopping"')]).toEqual([true, true]);
    expect(long.toLowerCase().includes("retry-after")).toEqual(true);
    expect(short.startsWith("HTTP/1.1 200")).toEqual(true);
    expect((await answering).status).toEqual(200);
  });

  it("survives a signal to read its settings again while it starts", async () => {
    await startCluster({ stopMs: 700, lingerMs: 100 });
    const { process, addresses } = await cluster.addGateway();
    while (!(await acceptsConnections(addresses.peers))) await pause(1);
    process.signal("SIGHUP");
    await cluster.ready();
    expect(process.ended).toEqual(false);
  });

  it("ends once, although it is told to stop twice", async () => {
    await startCluster({ stopMs: 700, lingerMs: 100 });
    const { process } = gateway();
    process.signal("SIGTERM");
    await pause(50);
    process.signal("SIGTERM");
    while (!process.ended) await pause(20);
    expect(process.collectedOutput.match(/"msg":"stopped"/g)?.length).toEqual(1);
  });
});
