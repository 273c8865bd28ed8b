import * as z from "zod";
import { addressSchema, durationSchema, loggingSchema, nameSchema } from "../settings/common-schemas.ts";

const listenSchema = z.strictObject({
  callers: addressSchema.describe("Where callers send requests, IP:port"),
  readiness: addressSchema.describe("Where the readiness check is answered, IP:port"),
  directory: addressSchema.describe("Where callers ask which addresses to use, IP:port"),
  peers: addressSchema.describe("Where other gateways reach this one, IP:port"),
  metrics: addressSchema.optional().describe("Where metrics are served, IP:port; none when left out"),
});

const timingSchema = z.strictObject({
  heartbeatMs: durationSchema.default(500).describe("Time between heartbeats to each peer, ms"),
  suspectMs: durationSchema.default(1_250).describe("Silence after which a peer is considered lost, ms"),
  forgetMs: durationSchema.default(60_000).describe("Silence after which a peer's address is dropped, ms"),
  claimMs: durationSchema
    .default(200)
    .describe("Interval between checks for partitions without an owner, ms"),
  settleInMs: durationSchema
    .default(600)
    .describe("Time after the start to hear from peers before partitions are claimed, ms"),
  watchOwnerMs: durationSchema
    .default(700)
    .describe(
      "Time for which a gateway that hears from fewer than half of the others watches an owner's writes, ms",
    ),
  storeSettleMs: durationSchema
    .default(2_000)
    .describe(
      "Time for which the store must have answered before owners that cannot reach it are replaced, ms; longer than an unanswered call plus a heartbeat",
    ),
  ownerWaitMs: durationSchema.default(1_500).describe("Maximum wait for a partition's owner, ms"),
  configurationMs: durationSchema
    .default(2_000)
    .describe("Maximum time until a configuration is in force after the store has confirmed it, ms"),
  runnerDrainMs: durationSchema
    .default(1_500)
    .describe("How long a draining runner continues to serve after its entry says that it drains, ms"),
  graceS: z
    .number()
    .min(0.1)
    .max(3_600)
    .default(8)
    .describe("Time after SIGTERM in which the platform lets the process end by itself, s"),
  stopMs: durationSchema
    .optional()
    .describe(
      "Time for which a planned stop finishes answers, ms. If omitted, eleven twelfths of `graceS`; the rest is for the end of the process",
    ),
  lingerMs: durationSchema
    .default(2_500)
    .describe(
      "Time for which a planned stop still accepts connections of callers that do not know of it yet, ms",
    ),
  directoryTtlS: z.number().min(0.1).max(60).default(1).describe("How long callers may cache addresses, s"),
});

const membershipSchema = z.strictObject({
  directMost: z
    .int()
    .min(1)
    .default(24)
    .describe(
      "Maximum number of gateways that send heartbeats to all others; with more, some per zone relay them",
    ),
});

const budgetSchema = z.strictObject({
  aheadTurns: z
    .number()
    .min(0)
    .max(16)
    .default(4)
    .describe("Further turns for which tokens are reserved in the store along with the current one"),
  settleMs: durationSchema
    .default(1_000)
    .describe(
      "Time after a program's last turn has ended by which the store counts no more tokens for it than its turns have used, ms",
    ),
});

const requestLimitsSchema = z.strictObject({
  windowMs: durationSchema
    .default(5_000)
    .describe("Length of the windows in which tenants' requests are counted against their limits, ms"),
  overage: z
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe("Fraction of a window's limit by which the limit may be exceeded"),
  slack: z
    .number()
    .min(0)
    .default(0)
    .describe("Additional requests in a window by which a limit may be exceeded"),
});

const keysSchema = z.strictObject({
  revokeMs: durationSchema
    .optional()
    .describe(
      "Maximum time for which a key may still be used after a configuration without it was acknowledged, ms; gateways whose configuration may be older refuse keyed requests. If omitted, they continue with the configuration that they have",
    ),
});

const placesSchema = z.strictObject({
  dispatchBelow: z
    .number()
    .min(0)
    .default(0)
    .describe(
      "Number of a pool's places per live gateway below which dispatchers hand them out while they are scarce, a quarter of it for runners that are not model engines; 0: each gateway places its calls by itself",
    ),
  scarceFrom: z
    .number()
    .min(0)
    .max(1)
    .default(0.7)
    .describe(
      "Share of a pool's places in use from which they are scarce, until it falls to seven tenths of this value",
    ),
});

const balanceSchema = z.strictObject({
  byHeadroom: z
    .boolean()
    .default(false)
    .describe(
      "Whether the directory lists gateways according to their headroom; otherwise it lists all equally",
    ),
  byExpectedTime: z
    .boolean()
    .default(false)
    .describe("Whether runners are chosen by the expected duration of a call; otherwise by load"),
});

const buffersSchema = z.strictObject({
  mostBytes: z
    .int()
    .min(0)
    .default(0)
    .describe(
      "Maximum number of bytes buffered for callers and runners that read slowly; 0: a share of the process's memory",
    ),
  memoryMb: z
    .number()
    .min(1)
    .default(256)
    .describe(
      "Memory that this process may use, MB; 15 % of it may be buffered for requests and slow readers, 5 % each be used for programs and for cached turns of owned partitions, and for what the connections to each address have received and is not processed",
    ),
});

const connectionsSchema = z.strictObject({
  descriptors: z
    .int()
    .min(64)
    .default(4_096)
    .describe("Descriptors that this process may have open; half of them may be connections of callers"),
  maxPerAddress: z
    .int()
    .min(0)
    .default(0)
    .describe(
      "Maximum number of connections that others may have open to each address of this process; 0: a share of its memory and its descriptors",
    ),
});

/** Settings of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
  name: nameSchema.describe("Name of the machine, unique within the system"),
  region: z.string().describe("Region of the machine"),
  zone: z.string().describe("Zone of the machine"),
  listen: listenSchema,
  seeds: z.array(addressSchema).default([]).describe("Peer addresses to start from; may be stale"),
  store: addressSchema.describe("The platform's transactional store, IP:port"),
  partitions: z
    .int()
    .min(1)
    .max(65_536)
    .default(64)
    .describe("Number of partitions of programs; fixed once the system has started"),
  turnParts: z
    .int()
    .min(1)
    .max(65_536)
    .default(64)
    .describe(
      "Number of parts of the store over which retained turns are spread; fixed once the system has started",
    ),
  timing: timingSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  budget: budgetSchema.prefault({}),
  keys: keysSchema.prefault({}),
  requestLimits: requestLimitsSchema.prefault({}),
  places: placesSchema.prefault({}),
  balance: balanceSchema.prefault({}),
  buffers: buffersSchema.prefault({}),
  connections: connectionsSchema.prefault({}),
  logging: loggingSchema.prefault({}),
});

/** Settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
