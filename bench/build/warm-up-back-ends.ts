/** Stand-ins of the store and of runners, used while gateways warm up. */

import { putSampleConfiguration } from "../../standins/platform/put-sample-configuration.ts";
import { RowStoreStandin } from "../../standins/platform/row-store-standin.ts";
import { RunnerStandin } from "../../standins/platform/runner-standin.ts";

const RUNNERS = 4;

/** A running store stand-in with the rows of a few runner stand-ins. */
export class WarmUpBackEnds {
  readonly storeAddress: string;

  private constructor(storeAddress: string) {
    this.storeAddress = storeAddress;
  }

  /** Starts the store and the runners. */
  static async start(): Promise<WarmUpBackEnds> {
    const store = new RowStoreStandin();
    const address = await store.listen();
    putSampleConfiguration(store);
    for (let index = 0; index < RUNNERS; index += 1) {
      const service = index === 0 ? "api" : "engine";
      const runner = new RunnerStandin(`${service}-${index}`);
      const row = { service, address: await runner.listen(), zone: `zone-${index % 2}`, slots: 6 };
      store.put("servers", runner.id, {
        ...row,
        version: "1",
        state: "ready",
        "cold-remaining-ms": 0,
        sequence: 1,
      });
    }
    return new WarmUpBackEnds(address);
  }
}
