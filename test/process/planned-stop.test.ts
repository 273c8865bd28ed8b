/** Tests what a planned stop of a gateway process leaves of the requests that it has taken. */
import { afterEach, describe, it } from "node:test";
import { expect } from "earl";
import { call, newRequestId } from "./support/gateway-caller.ts";
import { GatewayCluster, PATHS, pause, type TestGateway } from "./support/gateway-cluster.ts";
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
});
