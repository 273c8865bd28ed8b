import type { MemberStatus } from "../gateway-messages.ts";

/** Another gateway, as it was last heard of. */
export interface Member {
  /** Where other gateways reach it, IP:port. */
  readonly address: string;
  /** Unique per start of the process. */
  readonly instance: string;
  /** When this incarnation was first heard of, in ms of this gateway's monotonic clock. */
  readonly heardSinceMs: number;
  /** Hash of its name: the same on every gateway. */
  readonly hash: number;
  /** The same object for as long as the gateway says the same of itself. */
  readonly status: MemberStatus;
}
