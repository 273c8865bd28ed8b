/** Smaller copies of site files. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { shrinkSite } from "../../bench/site/shrink-site.ts";

const SITE = `machines = [
  { class = "front", cpu_share = 0.324, cores = 1, zone = "a", count = 28, spare = 6 },
  { class = "front", cpu_share = 0.675, cores = 2, zone = "b", count = 2, spare = 1 },
]
services = [
  { name = "llm", servers = [{ zone = "a", count = 12 }, { zone = "b", count = 1 }], slots = 6 },
]
traffic = [
  { zone = "a", per_s = 18.6, clients = 20 },
]
writes_per_s = 3200.0

[[day]]
small = { shrink = 12.0 }
at = 12.0`;

const FIFTH = `machines = [
  { class = "front", cpu_share = 0.324, cores = 1, zone = "a", count = 6, spare = 1 },
  { class = "front", cpu_share = 0.675, cores = 2, zone = "b", count = 1, spare = 1 },
]
services = [
  { name = "llm", servers = [{ zone = "a", count = 2 }, { zone = "b", count = 1 }], slots = 6 },
]
traffic = [
  { zone = "a", per_s = 3.72, clients = 4 },
]
writes_per_s = 640.0

[[day]]
at = 12.0`;

describe("smaller copies of site files", () => {
  it("divide machines, runners, traffic and the store's rates, keep at least one of each, and keep the days", () => {
    expect(shrinkSite(SITE, 5)).toEqual(FIFTH);
  });

  it("differ only in the removed small days when the factor is one", () => {
    const whole = SITE.replace("small = { shrink = 12.0 }\n", "").replace("3200.0", "3200.0");
    expect(shrinkSite(SITE, 1)).toEqual(whole);
  });
});
