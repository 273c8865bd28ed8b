import * as z from "zod";

const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** `IP:port`, with a numeric IPv4 address. */
export const addressSchema = z
  .string()
  .regex(ADDRESS_PATTERN, "must be an IP address and a port, like 127.0.0.1:7101");

/** A name of lower-case letters, digits and hyphens. */
export const nameSchema = z.string().regex(NAME_PATTERN, "must be lower-case letters, digits and hyphens");

/** A positive duration in milliseconds, at most one day. */
export const durationSchema = z.int().min(1).max(86_400_000);

/** Log levels, from the most detailed to none. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "silent"] as const;

/** Logging settings of a process. */
export const loggingSchema = z.strictObject({
  level: z.enum(LOG_LEVELS).default("info").describe("Least important lines that are written"),
});
