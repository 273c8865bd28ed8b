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
  suspectMs: durationSchema.default(1_250).describe("Silence after which a peer counts as gone, ms"),
  forgetMs: durationSchema.default(60_000).describe("Silence after which a peer's address is dropped, ms"),
  claimMs: durationSchema.default(200).describe("Time between looks for partitions without an owner, ms"),
  settleInMs: durationSchema
    .default(600)
    .describe("Time after the start in which peers are heard before partitions are claimed, ms"),
  watchOwnerMs: durationSchema
    .default(700)
    .describe(
      "Time for which a gateway that hears fewer than half of the others watches an owner's writes, ms",
    ),
  storeSettleMs: durationSchema
    .default(2_000)
    .describe(
      "Time for which the store has answered before owners that do not reach it are replaced, ms; longer than a call that is not answered and a heartbeat",
    ),
  ownerWaitMs: durationSchema.default(1_500).describe("Longest wait for a partition's owner, ms"),
  configurationMs: durationSchema
    .default(2_000)
    .describe("Within what time a configuration must be in force after the store has confirmed it, ms"),
  runnerDrainMs: durationSchema
    .default(1_500)
    .describe("How long a leaving runner goes on serving after its entry says so, ms"),
  stopMs: durationSchema.default(6_500).describe("Longest time that a planned stop takes, ms"),
  lingerMs: durationSchema
    .default(2_500)
    .describe("Time that a planned stop keeps taking connections of callers that know no better, ms"),
  directoryTtlS: z.number().min(0.1).max(60).default(1).describe("How long callers keep addresses, s"),
});

const membershipSchema = z.strictObject({
  directMost: z
    .int()
    .min(1)
    .default(24)
    .describe("Most gateways that send heartbeats to all others; with more, some per zone relay them"),
});

const budgetSchema = z.strictObject({
  aheadTurns: z
    .number()
    .min(0)
    .max(16)
    .default(4)
    .describe("Turns for which tokens are set aside in the store along with the present one"),
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
    .describe("Part of what a limit allows in a window by which it may be exceeded"),
  slack: z
    .number()
    .min(0)
    .default(0)
    .describe("Requests in a window by which a limit may be exceeded on top"),
});

const keysSchema = z.strictObject({
  revokeMs: durationSchema
    .optional()
    .describe(
      "Longest time for which a key may still be used after a configuration without it was acknowledged, ms; gateways that cannot be sure refuse keyed requests. Left out, they go on by the configuration that they have",
    ),
});

const placesSchema = z.strictObject({
  dispatchBelow: z
    .number()
    .min(0)
    .default(0)
    .describe(
      "Places of a pool for each live gateway below which dispatchers hand them out while they are scarce, a quarter of it for runners that are no model engines; 0: each gateway places its calls alone",
    ),
  scarceFrom: z
    .number()
    .min(0)
    .max(1)
    .default(0.7)
    .describe(
      "Share of a pool's places that are taken from which on they are scarce; until it falls to seven tenths of this",
    ),
});

const balanceSchema = z.strictObject({
  byHeadroom: z
    .boolean()
    .default(false)
    .describe("Whether callers are told of gateways by what these can take; otherwise all are told alike"),
  byExpectedTime: z
    .boolean()
    .default(false)
    .describe(
      "Whether runners are chosen by the time in which a call is expected to be over; otherwise by load",
    ),
});

const buffersSchema = z.strictObject({
  mostBytes: z
    .int()
    .min(0)
    .default(0)
    .describe("Most bytes held for callers and runners that read slowly; 0: a part of the machine's memory"),
  memoryMb: z
    .number()
    .min(1)
    .default(256)
    .describe("Memory that this process may use, MB; 15 in 100 of it may be held for slow readers"),
});

/** Settings of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
  name: nameSchema.describe("Name of the machine, unique in the system"),
  region: z.string().describe("Region that the machine is in"),
  zone: z.string().describe("Zone that the machine is in"),
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
    .describe("Number of the store's parts that retained turns lie in; fixed once the system has started"),
  timing: timingSchema.prefault({}),
  membership: membershipSchema.prefault({}),
  budget: budgetSchema.prefault({}),
  keys: keysSchema.prefault({}),
  requestLimits: requestLimitsSchema.prefault({}),
  places: placesSchema.prefault({}),
  balance: balanceSchema.prefault({}),
  buffers: buffersSchema.prefault({}),
  logging: loggingSchema.prefault({}),
});

/** Settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
