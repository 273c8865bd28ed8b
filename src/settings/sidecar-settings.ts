import * as z from "zod";
import { addressSchema, durationSchema, loggingSchema, nameSchema } from "./common-schemas.ts";

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
  drainMs: durationSchema.default(30_000).describe("Longest time that a planned stop waits for requests, ms"),
});

/** Settings of a sidecar process. */
export const sidecarSettingsSchema = z.strictObject({
  name: nameSchema.describe("Name of the sidecar"),
  region: nameSchema.describe("Region that the sidecar is in"),
  zone: nameSchema.describe("Zone that the sidecar is in"),
  listen: addressSchema.describe("Where callers reach the sidecar, IP:port"),
  address: addressSchema.describe("Where nodes reach the sidecar, IP:port"),
  nodes: z.array(addressSchema).min(1).describe("Nodes to start from, IP:port"),
  defaultTenant: nameSchema.optional().describe("Tenant of requests that name none"),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  logging: loggingSchema.prefault({}),
});

/** Settings of a sidecar process. */
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
