import type { Logger } from "pino";
import type { Member } from "../coordination/shard-group/index.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RandomSource } from "../runtime/random-source.ts";
import type { TextHash } from "../runtime/text-hash.ts";
import type { Transport } from "../runtime/transport.ts";
import type { NodeSettings } from "../settings/node-settings.ts";

/** The identity, settings and services that all components of a node share. */
export interface NodeContext {
  readonly self: Member;
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hash: TextHash;
  readonly transport: Transport;
  readonly log: Logger;
}
