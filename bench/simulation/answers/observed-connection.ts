import type { CallerConnection } from "./caller-connection.ts";
import type { SimulatedCall } from "./simulated-call.ts";

/** A caller's connection and the calls on it, in the order in which they were sent. */
export interface ObservedConnection {
  readonly connection: CallerConnection;
  readonly calls: readonly SimulatedCall[];
}
