/** Support for tests that are known to fail because of a bug that is not fixed yet. */
import { existsSync, readFileSync } from "node:fs";

const FILE = "KNOWN-RED.txt";
const SEPARATOR = " | ";

/**
 * Returns the options for the test with this name. A test that KNOWN-RED.txt lists still runs and is reported, but does
 * not fail the run. Each line of the file has the format `name | cause | issue`.
 */
export function knownRed(name: string): { readonly todo: string | false } {
  if (!existsSync(FILE)) return { todo: false };
  const line = readFileSync(FILE, "utf8")
    .split("\n")
    .find((candidate) => candidate.split(SEPARATOR, 1)[0] === name);
  return { todo: line ?? false };
}
