/**
 * Limits how many of a runner's connections one gateway may use. A runner accepts a fixed number of connections from all
 * gateways together. Half of them is reserved in equal shares. The other half is open to gateways that need more, since
 * callers are not spread evenly over gateways. The total stays within the runner's limit, unless there are so many gateways
 * that their minimum shares exceed it. Pure.
 */

/** Minimum share of a gateway, in connections, however many gateways there are: it cannot work with fewer. */
const MIN_SHARE = 2;
/** Most connections that one gateway uses at one runner. */
const MAX_SHARE = 64;
/**
 * Fraction of a runner's connections that is not reserved. While fewer connections than this are in use in total, a gateway
 * may exceed its share.
 */
const UNRESERVED_FRACTION = 0.5;

/** How many connections of one runner are in use, counted as requests in flight. */
export interface ConnectionUse {
  /** Requests in flight at the runner from this gateway. */
  readonly own: number;
  /** Requests in flight at the runner from all gateways, as far as known. */
  readonly total: number;
}

/** The equal share of one gateway in a number of connections, within the minimum and maximum per gateway. */
export function connectionShare(connections: number, gateways: number): number {
  const equal = Math.floor(connections / Math.max(1, gateways));
  return Math.min(MAX_SHARE, Math.max(MIN_SHARE, equal));
}

/** Whether a gateway may send one more request to a runner. */
export function mayUseConnection(use: ConnectionUse, maxConnections: number, gateways: number): boolean {
  const unreserved = maxConnections * UNRESERVED_FRACTION;
  if (use.own < connectionShare(maxConnections - unreserved, gateways)) return true;
  return use.own < MAX_SHARE && use.total < unreserved;
}

/**
 * Whether a gateway may exceed its share for a call for which it has no free connection at any other runner. Refusing the
 * call would serve no purpose while the runner is known to accept more connections.
 */
export function mayExceedShare(use: ConnectionUse, maxConnections: number): boolean {
  return use.own < MAX_SHARE && use.total < maxConnections;
}
