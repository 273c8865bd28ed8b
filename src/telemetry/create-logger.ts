import { type Logger, pino } from "pino";

/** The log of a process: JSON lines on standard error, one for each change of state. */
export function createLogger(name: string, level: string): Logger {
  return pino({ name, level, base: { name } }, pino.destination(2));
}
