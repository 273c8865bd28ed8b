import type { MemberStatus } from "../gateway-messages.ts";

/** Another gateway, as it was last heard of. */
export interface Member {
  /** Where other gateways reach it, IP:port. */
  readonly address: string;
  /** Unique per start of the process. */
  readonly instance: string;
  /** Hash of its name: the same on every gateway. */
  readonly hash: number;
  /** The same object for as long as the gateway says the same of itself. */
  readonly status: MemberStatus;
}
