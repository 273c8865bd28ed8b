import { DemoProgram } from "./demo-caller.ts";

/** The result of one program of the demo. */
export interface ProgramReport {
  readonly name: string;
  readonly program: DemoProgram;
  readonly latencyMs: number;
}

/** Number of checks in each exception of the pay run. */
const CHECKS_PER_EXCEPTION = [2, 0, 3, 1, 2, 3];
const CHECKOUTS = 8;
const CHECKOUT_TURNS = 3;
const CHECKOUT_PAUSE_MS = 400;
const TOOL_PAUSE_MS = 120;
const RULES = "Payroll rules of the shop: ".padEnd(6_000, "overtime counts from the fortieth hour; ");

/** Runs Magnolia's pay run and Rateora's checkouts concurrently. */
export class DemoWorkload {
  readonly reports: ProgramReport[] = [];
  readonly #address: string;
  readonly #printProgress: (line: string) => void;

  constructor(address: string, printProgress: (line: string) => void) {
    this.#address = address;
    this.#printProgress = printProgress;
  }

  /** Runs all programs; rejects if any answer is incomplete. */
  async run(): Promise<void> {
    await Promise.all([this.#payRun(), this.#checkouts()]);
  }

  async #payRun(): Promise<void> {
    await this.#measure("pay run", async () => {
      const run = await DemoProgram.open(this.#address, "magnolia", "agent-llm", "pay-run");
      await run.turn(`${RULES} Walk the pay run. #tokens=30`);
      const exceptions = CHECKS_PER_EXCEPTION.map((checks, index) => this.#exception(run, index, checks));
      await Promise.all(exceptions);
      await run.turn("All exceptions are settled. Close the run. #tokens=30");
      await run.service("POST", "/deposits", { run: run.id });
      await run.end();
      return run;
    });
  }

  async #exception(run: DemoProgram, index: number, checks: number): Promise<void> {
    await this.#measure(`exception ${index + 1} (${checks} checks)`, async () => {
      const parent = { program: run, afterCall: 1 };
      const program = await DemoProgram.open(this.#address, "magnolia", "agent-llm", "pay-run", parent);
      await program.turn(`Exception ${index + 1}: a check came out short. #tokens=60`);
      for (let check = 1; check <= checks; check++) {
        await program.service("GET", `/employees/${index}/hours?check=${check}`);
        await pause(TOOL_PAUSE_MS);
        await program.turn(`Check ${check}: the hours are in. #tokens=90`);
      }
      await program.service("POST", "/deposits", { exception: program.id });
      await program.end();
      return program;
    });
  }

  async #checkouts(): Promise<void> {
    const running: Promise<void>[] = [];
    for (let index = 1; index <= CHECKOUTS; index++) {
      running.push(this.#checkout(index));
      await pause(CHECKOUT_PAUSE_MS);
    }
    await Promise.all(running);
  }

  async #checkout(index: number): Promise<void> {
    await this.#measure(`checkout ${index}`, async () => {
      const program = await DemoProgram.open(this.#address, "rateora", "lm-pool", "checkout");
      for (let turn = 1; turn <= CHECKOUT_TURNS; turn++) {
        await program.turn(`Checkout ${index}, turn ${turn}: three instalments? #tokens=20`);
      }
      await program.service("POST", "/charges", { checkout: program.id });
      await program.end();
      return program;
    });
  }

  async #measure(name: string, work: () => Promise<DemoProgram>): Promise<void> {
    const startMs = performance.now();
    const program = await work();
    const latencyMs = performance.now() - startMs;
    await checkHistory(name, program);
    this.reports.push({ name, program, latencyMs });
    this.#printProgress(`${name}: done in ${Math.round(latencyMs)} ms, ${program.turns.length} turns`);
  }
}

/** Throws unless the history ends with exactly the answers that the caller received, complete and in order. */
async function checkHistory(name: string, program: DemoProgram): Promise<void> {
  const committed = (await program.committedAnswers()).slice(-program.answers.length);
  const matches =
    committed.length === program.answers.length && committed.every((text, i) => text === program.answers[i]);
  if (!matches) throw new Error(`The history of ${name} (${program.id}) differs from what its caller saw.`);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
