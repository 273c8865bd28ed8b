/** How many connections others may have open to the addresses of a gateway, by its memory and its descriptors. */
import type { ConnectionLimits } from "../../runtime/http-server/paced-connections.ts";
import type { GatewaySettings } from "../gateway-settings.ts";

/** What the connections of one address may use. */
export interface ConnectionShare {
  /** Fraction of the process's memory. */
  readonly memory: number;
  /** Fraction of the process's descriptors. */
  readonly descriptors: number;
}

/** The share of the address for callers. */
export const CALLERS_SHARE: ConnectionShare = { memory: 0.08, descriptors: 0.5 };
/** The share of each other address. */
export const OTHERS_SHARE: ConnectionShare = { memory: 0.02, descriptors: 0.0625 };

const BYTES_PER_MEGABYTE = 1_000_000;
/** Memory of a connection on which nothing is under way, in bytes. */
const CONNECTION_BYTES = 16_384;
/** Fraction of the process's memory that connections may hold of what they have received and the server has not processed. */
const HELD_MEMORY_FRACTION = 0.05;

export function connectionLimitsOf(
  { buffers, connections }: Pick<GatewaySettings, "buffers" | "connections">,
  share: ConnectionShare,
): ConnectionLimits {
  const memoryBytes = buffers.memoryMb * BYTES_PER_MEGABYTE;
  const byMemory = (memoryBytes * share.memory) / CONNECTION_BYTES;
  const byDescriptors = connections.descriptors * share.descriptors;
  const maxConnections = connections.maxPerAddress || Math.ceil(Math.min(byMemory, byDescriptors));
  return { maxConnections, maxHeldBytes: memoryBytes * HELD_MEMORY_FRACTION };
}
