import { type Logger, pino } from "pino";

/** Creates the logger of a process, which writes JSON lines to standard error, one for each change of state. */
export function createLogger(name: string, level: string): Logger {
  return pino({ name, level, base: { name } }, pino.destination(2));
}
