import * as z from "zod";
import { durationSchema, nameSchema } from "./common-schemas.ts";

const limitsSchema = z.strictObject({
  bodyBytes: z
    .int()
    .min(1_024)
    .default(4 * 1024 * 1024)
    .describe("Largest request body, bytes"),
  headerBytes: z
    .int()
    .min(1_024)
    .default(16 * 1024)
    .describe("Largest request head, bytes"),
  requestMs: durationSchema.default(10_000).describe("Longest time in which a request must arrive, ms"),
  defaultMaxTokens: z
    .int()
    .min(1)
    .default(512)
    .describe("Tokens of a completion whose caller names no number"),
  concurrentRequests: z.int().min(1).default(4_096).describe("Requests in progress at once"),
});

const timingSchema = z.strictObject({
  callPatienceMs: durationSchema
    .default(120_000)
    .describe("How long a call may take when the caller names no time, ms"),
  leaderSilenceMs: durationSchema
    .default(1_200)
    .describe("Silence of a leader after which a call is submitted again, ms"),
  submitRetryMs: durationSchema.default(150).describe("Time between tries to find a leader, ms"),
  unavailableAfterMs: durationSchema
    .default(15_000)
    .describe("Time without any leader after which a request is given up, ms"),
  drainMs: durationSchema
    .default(30_000)
    .describe("Longest time that a planned stop waits for callers' requests, ms"),
  addressesTtlS: z.number().min(0.1).max(60).default(2).describe("How long callers keep addresses, s"),
});

/** Settings for the handling of callers' requests at a node. */
export const ingressSettingsSchema = z.strictObject({
  defaultTenant: nameSchema.optional().describe("Tenant of requests that name none"),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
});

/** Settings for the handling of callers' requests at a node. */
export type IngressSettings = z.infer<typeof ingressSettingsSchema>;
