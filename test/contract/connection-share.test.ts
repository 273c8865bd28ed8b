/** Tests how many of a runner's connections each gateway may use. */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  connectionShare,
  mayExceedShare,
  mayUseConnection,
} from "../../src/scheduling/runner-balancing/connection-share.ts";

describe("share of a runner's connections", () => {
  const SHARES: [maxConnections: number, gateways: number, share: number][] = [
    [480, 1, 64],
    [480, 0, 64],
    [480, 20, 24],
    [480, 74, 6],
    [520, 300, 2],
    [1, 74, 2],
  ];
  for (const [maxConnections, gateways, share] of SHARES) {
    it(`of ${maxConnections} is ${share} with ${gateways} gateways`, () =>
      expect(connectionShare(maxConnections, gateways)).toEqual(share));
  }

  const USES: [what: string, own: number, total: number, may: boolean][] = [
    ["below its share, however full the runner is", 2, 480, true],
    ["at its share, while less than half is in use", 3, 239, true],
    ["at its share, while half is in use", 3, 240, false],
    ["above its share, while less than half is in use", 63, 100, true],
    ["at the maximum of one gateway", 64, 64, false],
  ];
  for (const [what, own, total, may] of USES) {
    it(`${may ? "allows" : "denies"} one more request to a gateway ${what}`, () =>
      expect(mayUseConnection({ own, total }, 480, 74)).toEqual(may));
  }

  it("keeps the connections of all gateways within the runner's limit, if each knows the total", () => {
    const gateways = fc.integer({ min: 1, max: 40 });
    const requests = fc.array(fc.nat(39), { maxLength: 600 });
    fc.assert(
      fc.property(
        gateways,
        fc.integer({ min: 160, max: 300 }),
        requests,
        (count, maxConnections, requesters) => {
          const own = Array.from({ length: count }, () => 0);
          let total = 0;
          for (const requester of requesters) {
            const gateway = requester % count;
            const used = own[gateway] ?? 0;
            if (!mayUseConnection({ own: used, total }, maxConnections, count)) continue;
            own[gateway] = used + 1;
            total += 1;
          }
          expect(total <= maxConnections).toEqual(true);
        },
      ),
    );
  });

  it("lets a call exceed the share if no other runner has a free connection, within the runner's limit", () => {
    const maxConnections = 100;
    const use = { own: 40, total: 60 };
    expect(mayUseConnection(use, maxConnections, 2)).toEqual(false);
    expect(mayExceedShare(use, maxConnections)).toEqual(true);
    expect(mayExceedShare({ own: 40, total: 100 }, maxConnections)).toEqual(false);
    expect(mayExceedShare({ own: 64, total: 80 }, maxConnections)).toEqual(false);
  });
});
