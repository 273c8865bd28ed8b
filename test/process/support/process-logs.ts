/**
 * Files with the logs of the processes that this test process started, one file for each. They are kept when a test
 * fails or does not end, and always in the folder that the variable `TEST_LOG_FOLDER` names.
 */
import { appendFileSync, mkdirSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const KEPT_FOLDER = process.env.TEST_LOG_FOLDER;
const FOLDER = KEPT_FOLDER ?? join(tmpdir(), "tulipwheel-test-logs", String(process.pid));

process.once("exit", (code) => {
  if (code === 0 && !KEPT_FOLDER) rmSync(FOLDER, { recursive: true, force: true });
});

/** Appends a part of the log of a process to its file. */
export function appendProcessLog(pid: number | undefined, part: string): void {
  mkdirSync(FOLDER, { recursive: true });
  appendFileSync(join(FOLDER, `${pid}.log`), part);
}
