/**
 * Which part of the connections that a runner takes from all gateways one of them may use. One half of them is shared out
 * evenly, the other is lent to those that need more: callers are not spread evenly over gateways. All together stay within
 * what the runner takes, unless there are so many gateways that the least share of each is too much. Pure.
 */

/** A gateway needs this many at least to work at all, however many gateways there are. */
const MIN_SHARE = 2;
/** What one gateway uses of one runner at most. */
const MAX_SHARE = 64;
/** Part of all connections that is lent: as long as no more are in use, a gateway may go beyond its share. */
const UNRESERVED_FRACTION = 0.5;

/** How the connections of one runner are used. */
export interface ConnectionUse {
  /** Requests at the runner from this gateway. */
  readonly own: number;
  /** Requests at the runner from all gateways, as far as known. */
  readonly total: number;
}

/** A gateway's equal share of some connections of a runner. */
export function connectionShare(connections: number, gateways: number): number {
  const equal = Math.floor(connections / Math.max(1, gateways));
  return Math.min(MAX_SHARE, Math.max(MIN_SHARE, equal));
}

/** Whether a gateway may have one request more at a runner. */
export function mayUseConnection(use: ConnectionUse, maxConnections: number, gateways: number): boolean {
  const unreserved = maxConnections * UNRESERVED_FRACTION;
  if (use.own < connectionShare(maxConnections - unreserved, gateways)) return true;
  return use.own < MAX_SHARE && use.total < unreserved;
}

/**
 * Whether a gateway may go beyond its share for a call that no other runner has a connection for: refusing it would help
 * nobody while the runner is known to take more.
 */
export function mayExceedShare(use: ConnectionUse, maxConnections: number): boolean {
  return use.own < MAX_SHARE && use.total < maxConnections;
}
