import type { CallContext } from "../../ports/call-protocol.ts";
import type { Route } from "../../scheduling/routing/routing-configuration.ts";

/** The time that a call may take from its arrival, in ms: as long as its caller waits, but at most what its route allows. */
export function callTimeoutMs({ deadlineMs }: CallContext, { timeoutMs }: Route): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}
