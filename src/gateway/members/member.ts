import type { MemberStatus } from "../gateway-messages.ts";

/** Another gateway with its latest known status. */
export interface Member {
  /** IP:port for connections of other gateways. */
  readonly address: string;
  /** Incarnation: unique for each start of the process. */
  readonly instance: string;
  /** When this incarnation became known, in ms of this gateway's monotonic clock. */
  readonly heardSinceMs: number;
  /** Hash of its name, the same on every gateway. */
  readonly hash: number;
  /** The same object as long as the gateway reports the same status. */
  readonly status: MemberStatus;
}
