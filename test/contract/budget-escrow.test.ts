import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { AllotmentTable, availableTokens, BudgetLedger } from "../../src/coordination/budget-escrow/index.ts";

const BUDGET = "magnolia/pay-run@total";

describe("budget ledger", () => {
  const CASES: [string, { limit: number; wanted: number[] }, number[]][] = [
    ["lends the wanted total", { limit: 100, wanted: [40] }, [40]],
    ["lends nothing more for the same total", { limit: 100, wanted: [40, 40, 40] }, [40, 40, 40]],
    ["lends up to the limit", { limit: 100, wanted: [40, 500] }, [40, 100]],
    ["lends nothing when the limit is zero", { limit: 0, wanted: [10] }, [0]],
    ["does not reduce a loan when less is wanted", { limit: 100, wanted: [40, 10] }, [40, 40]],
  ];
  for (const [name, { limit, wanted }, expected] of CASES) {
    it(name, () => {
      const ledger = new BudgetLedger();
      expect(wanted.map((total) => ledger.lend(BUDGET, limit, "shard-1", total))).toEqual(expected);
    });
  }

  it("lends nothing more after the limit was lowered below the outstanding tokens", () => {
    const ledger = new BudgetLedger();
    ledger.lend(BUDGET, 100, "shard-1", 80);
    expect(ledger.lend(BUDGET, 50, "shard-2", 10)).toEqual(0);
    ledger.report(BUDGET, "shard-1", 60, 0);
    expect(ledger.lend(BUDGET, 50, "shard-2", 10)).toEqual(10);
  });

  it("counts the allotment of an unresponsive borrower as spent", () => {
    const ledger = new BudgetLedger();
    ledger.lend(BUDGET, 100, "gone", 100);
    expect(ledger.lend(BUDGET, 100, "shard-2", 1)).toEqual(0);
  });
});

describe("budget ledger and allotment tables together", () => {
  it("never let borrowers spend more than the limit when messages are lost, repeated or reordered", () => {
    const step = fc.record({
      borrower: fc.nat(2),
      action: fc.constantFrom("ask", "deliver-old", "reserve", "settle", "return", "report"),
      amount: fc.nat(60),
    });
    fc.assert(
      fc.property(fc.nat(200), fc.array(step, { maxLength: 120 }), (limit, steps) => {
        const ledger = new BudgetLedger();
        const tables = [new AllotmentTable(), new AllotmentTable(), new AllotmentTable()];
        const reservations: number[][] = [[], [], []];
        const oldGrants: [number, number][] = [];
        for (const { borrower, action, amount } of steps) {
          const table = tables[borrower];
          const name = `shard-${borrower}`;
          if (action === "ask") {
            const total = ledger.lend(BUDGET, limit, name, table.get(BUDGET).grantedTotal + amount);
            oldGrants.push([borrower, total]);
            if (amount % 3 > 0) table.recordGrant(BUDGET, total);
          } else if (action === "deliver-old" && oldGrants.length > 0) {
            const [to, total] = oldGrants[amount % oldGrants.length];
            tables[to].recordGrant(BUDGET, total);
          } else if (action === "reserve") {
            if (table.reserve(BUDGET, amount)) reservations[borrower].push(amount);
          } else if (action === "settle") {
            const reserved = reservations[borrower].pop();
            if (reserved !== undefined) table.settle(BUDGET, reserved, amount);
          } else if (action === "return") table.returnTokens(BUDGET, amount);
          else if (action === "report") {
            const { returnedTotal, spentTotal } = table.get(BUDGET);
            ledger.report(BUDGET, name, returnedTotal, spentTotal);
          }
          const held = tables.map((one) => one.get(BUDGET));
          const spent = held.reduce((sum, one) => sum + one.spentTotal + one.reserved, 0);
          expect(spent <= limit).toEqual(true);
          for (const one of held) expect(availableTokens(one) >= 0).toEqual(true);
        }
      }),
      { seed: 11, numRuns: 400 },
    );
  });
});
