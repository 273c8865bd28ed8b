/** The record of a case and its exit codes. `run.sh` of each case turns the codes into those of the review. */
import { writeFileSync } from "node:fs";

/** Exit code of a case in which the rule was broken. Not 1, with which Node.js itself ends after an error. */
const BROKEN_EXIT_CODE = 10;
const HELD_EXIT_CODE = 0;
const FAILED_TO_RUN_EXIT_CODE = 2;
const WATCHDOG_MS = 110_000;

/** Whether the case runs with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Collects what was sent, answered and run, with the time since the start of the case. */
export class CaseRecord {
  readonly #lines: string[] = [];
  readonly #startedMs = performance.now();

  add(line: string): void {
    const atMs = (performance.now() - this.#startedMs).toFixed(0).padStart(6);
    this.#lines.push(`${atMs} ms  ${line}`);
  }

  write(path: string): void {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

/** What a case found. */
export interface CaseResult {
  /** Each breach of the rule, in a line. */
  readonly breaches: readonly string[];
}

/** Runs a case, writes its record, and ends this process with the code of its result. */
export async function runCase(
  recordFile: string,
  run: (record: CaseRecord) => Promise<CaseResult>,
  cleanUp: () => Promise<void>,
): Promise<void> {
  const record = new CaseRecord();
  const finish = async (code: number, text: string) => {
    record.add(text);
    record.write(recordFile);
    process.stdout.write(`${text}\n`);
    await cleanUp().catch(() => undefined);
    process.exit(code);
  };
  const fail = (reason: unknown) =>
    void finish(FAILED_TO_RUN_EXIT_CODE, `the case could not run: ${textOf(reason)}`);
  process.on("uncaughtException", fail);
  process.on("unhandledRejection", fail);
  for (const signal of ["SIGINT", "SIGTERM"] as const) process.on(signal, () => fail(signal));
  setTimeout(() => fail("it took too long"), WATCHDOG_MS).unref();
  try {
    const { breaches } = await run(record);
    for (const breach of breaches) record.add(`BREACH ${breach}`);
    if (breaches.length > 0)
      await finish(BROKEN_EXIT_CODE, `the rule was broken: ${breaches.length} breaches`);
    else await finish(HELD_EXIT_CODE, "the rule held");
  } catch (error) {
    fail(error);
  }
}

function textOf(reason: unknown): string {
  return reason instanceof Error ? `${reason.stack}` : String(reason);
}
