/** Tests of the time-outs of connection attempts. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { ConnectTimeouts } from "../../src/runtime/connect-timeouts.ts";

describe("connect time-outs", () => {
  it("are short at first, and grow for an address that has not responded", () => {
    const connectTimeouts = new ConnectTimeouts();
    const limits = Array.from({ length: 6 }, () => {
      const limitMs = connectTimeouts.timeoutMs("10.0.0.1:80");
      connectTimeouts.recordTimeout("10.0.0.1:80");
      return limitMs;
    });
    expect(limits).toEqual([200, 400, 800, 1_000, 1_000, 1_000]);
    expect(connectTimeouts.timeoutMs("10.0.0.2:80")).toEqual(200);
  });

  it("are short again once the address has responded", () => {
    const connectTimeouts = new ConnectTimeouts();
    for (let count = 0; count < 20; count += 1) connectTimeouts.recordTimeout("10.0.0.1:80");
    connectTimeouts.recordResponse("10.0.0.1:80");
    expect(connectTimeouts.timeoutMs("10.0.0.1:80")).toEqual(200);
  });
});
