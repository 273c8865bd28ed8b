import { TulipwheelError, type TulipwheelErrorInstance } from "../errors/tulipwheel-error.ts";

/** Exit codes of the command line, for scripts. */
export const EXIT_CODES = {
  done: 0,
  unexpected: 1,
  invalidInput: 2,
  refused: 3,
  conflict: 4,
  unavailable: 5,
} as const;

const INVALID_KINDS = new Set(["invalid-request", "invalid-template", "invalid-settings"]);
const CONFLICT_KINDS = new Set(["configuration-conflict", "call-conflict"]);
const UNAVAILABLE_STATUS = 503;

/** Returns the exit code of a command that failed with an error. */
export function exitCodeOf(error: unknown): number {
  if (!(error instanceof TulipwheelError)) return EXIT_CODES.unexpected;
  const { kind, status } = (error as TulipwheelErrorInstance).problem;
  if (INVALID_KINDS.has(kind)) return EXIT_CODES.invalidInput;
  if (CONFLICT_KINDS.has(kind)) return EXIT_CODES.conflict;
  return status === UNAVAILABLE_STATUS ? EXIT_CODES.unavailable : EXIT_CODES.refused;
}
