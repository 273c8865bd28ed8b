import { Command, Option } from "clipanion";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable } from "../format-table.ts";
import { OperatorClient } from "../operator-client.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";
import { DemoSystem } from "./demo-system.ts";
import { DemoWorkload, type ProgramReport } from "./demo-workload.ts";

const NODE_FAILS_AFTER_MS = 1_200;
const ENGINE_FAILS_AFTER_MS = 2_400;
const TIME_LIMIT_MS = 28_000;
const FAILING_NODE = 1;
const FAILING_ENGINE = "agent-llm-2";

/** `tulipwheel demo` */
export class DemoCommand extends TulipwheelCommand {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description:
      "Runs a whole system in this process, with a pay run and checkouts, and stops machines meanwhile",
    details: `
      Starts the platform's stand-ins and three nodes in three zones on loopback. During the run one node and
      one engine are stopped. Ends by itself within 30 s, with code 0 only if every answer was complete.
      With --keep the system stays up afterwards, for curl.
    `,
  });
  keep = Option.Boolean("--keep", false, { description: "Leaves the system up until Ctrl-C" });
  port = Option.String("--port", "0", { description: "Port for callers; 0 takes a free one" });
  logLevel = Option.String("--log-level", "silent", { description: "Log level of the daemons" });

  protected override async run(): Promise<number> {
    const startMs = performance.now();
    const printProgress = (line: string) => this.#printProgress(startMs, line);
    printProgress("starting stand-ins, and three nodes in three zones");
    const system = await DemoSystem.start({ callers: Number(this.port), firstNode: 0 }, this.logLevel);
    printProgress(`callers reach the system at http://${system.address}`);
    const workload = new DemoWorkload(system.address, printProgress);
    const failures = this.#scheduleFailures(system, printProgress);
    await withTimeout(workload.run());
    for (const timer of failures) clearTimeout(timer);
    const report = await this.#report(system, workload.reports);
    checkLedger(system, workload.reports);
    this.print(
      report.json,
      `\n${report.text}\nEvery answer was whole, and every deposit and charge ran once.`,
    );
    if (this.keep) await this.#waitForSignal(system, printProgress);
    await system.stop();
    return EXIT_CODES.done;
  }

  #printProgress(startMs: number, line: string): void {
    const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
    this.context.stderr.write(`[${seconds.padStart(5)} s] ${line}\n`);
  }

  #scheduleFailures(system: DemoSystem, printProgress: (line: string) => void): NodeJS.Timeout[] {
    const nodeTimer = setTimeout(() => {
      printProgress("one node is stopped");
      void system.killNode(FAILING_NODE);
    }, NODE_FAILS_AFTER_MS);
    const engineTimer = setTimeout(() => {
      printProgress("one engine is stopped");
      void system.killEngine(FAILING_ENGINE);
    }, ENGINE_FAILS_AFTER_MS);
    return [nodeTimer, engineTimer];
  }

  async #report(system: DemoSystem, reports: readonly ProgramReport[]) {
    const rows = reports.map(({ name, program, latencyMs }) => {
      const prompt = sum(program.turns.map((turn) => turn.promptTokens));
      const again = sum(program.turns.map((turn) => turn.prefilledAgain));
      return { name, latencyMs: Math.round(latencyMs), turns: program.turns.length, prompt, again };
    });
    const table = formatTable(
      ["PROGRAM", "LATENCY MS", "TURNS", "PROMPT TOKENS", "PREFILLED AGAIN"],
      rows.map((row) => [row.name, row.latencyMs, row.turns, row.prompt, row.again].map(String)),
    );
    const budgets = await readBudgets(system);
    const explained = await explainException(reports);
    const budgetLines = budgets.map(
      ({ budget, limit, lent }) => `budget ${budget}: ${lent} of ${limit} tokens lent`,
    );
    const text = [
      table,
      "",
      ...budgetLines,
      "",
      "one decision, explained:",
      JSON.stringify(explained, null, 2),
    ];
    return { json: { programs: rows, budgets, explained }, text: text.join("\n") };
  }

  async #waitForSignal(system: DemoSystem, printProgress: (line: string) => void): Promise<void> {
    printProgress(
      `still running: curl -H 'Tulipwheel-Tenant: magnolia' -d '{"template":"question"}' http://${system.address}/v1/programs`,
    );
    printProgress(
      `for operators: tulipwheel status --node ${system.nodes[0].address}; Ctrl-C stops the system`,
    );
    await new Promise<void>((resolve) => {
      process.once("SIGINT", () => resolve());
      process.once("SIGTERM", () => resolve());
    });
  }
}

async function withTimeout(work: Promise<void>): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error(`The demo took longer than ${TIME_LIMIT_MS} ms.`)),
      TIME_LIMIT_MS,
    );
  });
  await Promise.race([work, limit]);
  clearTimeout(timer);
}

async function readBudgets(system: DemoSystem) {
  const client = await OperatorClient.connect(system.nodes[0].address);
  const budgets = [];
  for (const [tenant, template] of [
    ["magnolia", "pay-run"],
    ["rateora", "checkout"],
  ]) {
    const { budget } = await client.ask("nameBudget", { tenant, template });
    budgets.push(await client.askLeader(`budget:${budget}`, "readBudget", { tenant, template }));
  }
  await client.close();
  return budgets;
}

/** Returns the decision about the first call of the exception of the pay run that finished first. */
async function explainException(reports: readonly ProgramReport[]): Promise<unknown> {
  const report = reports.find(({ name }) => name.startsWith("exception"));
  return report?.program.explain(report.program.calls[0]);
}

function checkLedger(system: DemoSystem, reports: readonly ProgramReport[]): void {
  const posts = system.service.ledger.filter(({ method }) => method === "POST");
  for (const { name, program } of reports) {
    const ran = posts.filter(({ body }) => body.includes(`"${program.id}"`)).length;
    if (ran !== 1) throw new Error(`The deposit or charge of ${name} ran ${ran} times.`);
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
