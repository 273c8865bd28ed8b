import * as z from "zod";
import { addressSchema, durationSchema, loggingSchema, nameSchema } from "./common-schemas.ts";
import { ingressSettingsSchema } from "./ingress-settings.ts";

const shardGroupTimingSchema = z.strictObject({
  electionTimeoutMs: durationSchema
    .default(800)
    .describe("Silence of a leader after which an election starts, ms"),
  heartbeatIntervalMs: durationSchema.default(150).describe("Time between a leader's heartbeats, ms"),
});

const timingSchema = z.strictObject({
  tickMs: durationSchema.default(40).describe("Time between looks at the timers of all shards, ms"),
  shardGroup: shardGroupTimingSchema.prefault({}),
  machineListMs: durationSchema.default(1_000).describe("Time between reads of the machine list, ms"),
  machineListStaleMs: durationSchema
    .default(3_000)
    .describe("Age of the machine list at which homes stop granting work, ms"),
  repairMs: durationSchema.default(500).describe("Time between steps that move replicas of one shard, ms"),
  deadAfterMs: durationSchema.default(4_000).describe("Silence after which a replica is replaced, ms"),
  configurationMs: durationSchema.default(1_000).describe("Time between looks for a newer configuration, ms"),
  loadReportMs: durationSchema.default(500).describe("Time between reads of an engine's load, ms"),
  announceMs: durationSchema.default(500).describe("Shortest time between announcements of runners, ms"),
  callAliveMs: durationSchema.default(400).describe("Time between a leader's signs of life for a call, ms"),
  takeoverGraceMs: durationSchema
    .default(1_500)
    .describe("Time that a new leader leaves other nodes to say what callers have seen of a call, ms"),
  orphanPatienceMs: durationSchema
    .default(60_000)
    .describe("How long a call taken over from another leader may take when nobody waits for it, ms"),
  callGapMs: durationSchema.default(3_000).describe("How long a call waits for the one before it, ms"),
  noticeableWaitMs: durationSchema
    .default(20)
    .describe("Wait from which a call counts as one that waited, ms"),
  slotRetryMs: durationSchema
    .default(500)
    .describe("Time after which an unanswered slot request is repeated, ms"),
  grantLapseMs: durationSchema
    .default(3_000)
    .describe("Time after which a granted slot that the engine does not know is freed, ms"),
  archiveMs: durationSchema
    .default(1_000)
    .describe("Time between writes of a shard's commands to the object store, ms"),
  sweepMs: durationSchema
    .default(2_000)
    .describe("Time between sweeps for cache of programs that are gone, ms"),
  drainMs: durationSchema
    .default(30_000)
    .describe("Longest time that a planned stop waits for calls in flight, ms"),
});

const clusterSchema = z.strictObject({
  shards: z
    .int()
    .min(1)
    .max(65_536)
    .default(16)
    .describe("Number of shards; fixed once the system has started"),
  replicas: z.int().min(1).max(7).default(5).describe("Replicas of each shard"),
  shardsPerFamily: z
    .int()
    .min(1)
    .max(64)
    .default(4)
    .describe("Neighbouring shards that share their replicas"),
  firstNodes: z
    .int()
    .min(1)
    .default(3)
    .describe("Nodes that must be there before the first shards are created"),
});

const platformSchema = z.strictObject({
  table: addressSchema.describe("Table service, IP:port"),
  objects: addressSchema.describe("Object store, IP:port"),
  machineList: addressSchema.describe("Machine list, IP:port"),
});

const retentionSchema = z.strictObject({
  endedProgramsMs: durationSchema
    .default(600_000)
    .describe("How long an ended program can still be asked about, ms"),
  idleProgramsMs: durationSchema
    .default(3_600_000)
    .describe("Silence after which an open program counts as abandoned, ms"),
});

/** Settings of a node process. */
export const nodeSettingsSchema = z.strictObject({
  name: nameSchema.describe("Name of the node, unique in the cluster"),
  region: nameSchema.describe("Region that the node is in"),
  zone: nameSchema.describe("Zone that the node is in"),
  address: addressSchema.describe("Where other processes reach the node, IP:port"),
  callers: addressSchema.describe("Where callers send requests, IP:port"),
  metrics: addressSchema.describe("Where metrics and health are served, IP:port"),
  platform: platformSchema,
  cluster: clusterSchema.prefault({}),
  timing: timingSchema.prefault({}),
  retention: retentionSchema.prefault({}),
  ingress: ingressSettingsSchema.prefault({}),
  logging: loggingSchema.prefault({}),
});

/** Settings of a node process. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
