/** How long attempts to connect wait for an answer. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { ConnectPatience } from "../../src/runtime/connect-patience.ts";

describe("attempts to connect", () => {
  it("end soon at first, and wait longer for an address that has not answered", () => {
    const patience = new ConnectPatience();
    const limits = Array.from({ length: 6 }, () => {
      const limitMs = patience.limitMs("10.0.0.1:80");
      patience.noteUnanswered("10.0.0.1:80");
      return limitMs;
    });
    expect(limits).toEqual([200, 400, 800, 1_000, 1_000, 1_000]);
    expect(patience.limitMs("10.0.0.2:80")).toEqual(200);
  });

  it("end soon again once the address has answered", () => {
    const patience = new ConnectPatience();
    for (let count = 0; count < 20; count += 1) patience.noteUnanswered("10.0.0.1:80");
    patience.noteAnswer("10.0.0.1:80");
    expect(patience.limitMs("10.0.0.1:80")).toEqual(200);
  });
});
