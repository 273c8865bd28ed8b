import type { CallContext } from "../../ports/call-protocol.ts";
import type { Route } from "../../scheduling/routing/routing-configuration.ts";

/** How long a call may take from its arrival on, in ms: what its caller waits, and never more than its route allows. */
export function callTimeoutMs({ deadlineMs }: CallContext, { timeoutMs }: Route): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}
