/** Purpose of a machine. */
export type MachineKind = "node" | "runner" | "service";

/** One entry of the platform's list of machines. The list may be stale. */
export interface Machine {
  readonly name: string;
  readonly kind: MachineKind;
  /** Runner pool or service that the machine belongs to; empty for nodes. */
  readonly pool: string;
  readonly zone: string;
  /** IP address and port. */
  readonly address: string;
  /** For nodes: the address for callers, IP address and port. */
  readonly callers?: string;
  /** Changes whenever another machine takes the name or address. */
  readonly incarnation: string;
  readonly state: "live" | "leaving";
  /** For runners: the models served, the batch size, and the tokens of key-value cache. */
  readonly models: readonly string[];
  readonly slots: number;
  readonly kvTokens: number;
}

/** The platform's list of machines. Every method throws a `PlatformError` when the platform does not respond. */
export interface MachineList {
  /** Returns all machines that the platform knows. */
  read(): Promise<readonly Machine[]>;
  /** Reports to the platform that a node is live or leaving. Repeated periodically as a heartbeat. */
  report(machine: Machine): Promise<void>;
}
