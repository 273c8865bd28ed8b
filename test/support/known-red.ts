/** Tests that fail for a real fault which is not mended yet. */
import { existsSync, readFileSync } from "node:fs";

const FILE = "KNOWN-RED.txt";
const SEPARATOR = " | ";

/**
 * Options for a test of this name: a test that KNOWN-RED.txt lists runs, is reported, and does not fail the run. A line
 * reads `name | cause | issue`.
 */
export function knownRed(name: string): { readonly todo: string | false } {
  if (!existsSync(FILE)) return { todo: false };
  const line = readFileSync(FILE, "utf8")
    .split("\n")
    .find((candidate) => candidate.split(SEPARATOR, 1)[0] === name);
  return { todo: line ?? false };
}
