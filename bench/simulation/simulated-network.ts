import { Encoder } from "cbor-x";
import type { Message } from "../../src/messages/message.ts";
import type { DisconnectReason } from "../../src/runtime/disconnect-reason.ts";
import type { RandomSource } from "../../src/runtime/random-source.ts";
import type { MessageHandler, Sender, Transport } from "../../src/runtime/transport.ts";
import type { SimulatedProcess, VirtualTime } from "./virtual-time.ts";

/** The network's current faults. */
export interface NetworkConditions {
  /** Fraction of the messages that are lost. */
  loss: number;
  /** Fraction of the messages that arrive twice. */
  duplication: number;
  /** Fraction of the messages that are delayed, so that later ones may overtake them. */
  reordering: number;
}

const WITHIN_ZONE_MS = 0.3;
const BETWEEN_ZONES_MS = 1.2;
const JITTER_MS = 1;
const MAX_REORDER_DELAY_MS = 40;

/** Connects simulated processes, and can cut, lose, duplicate and reorder messages, all determined by the seed. */
export class SimulatedNetwork<Kind = Message> {
  readonly conditions: NetworkConditions = { loss: 0, duplication: 0, reordering: 0 };
  readonly #time: VirtualTime;
  readonly #random: RandomSource;
  /** Whether the sender of a message to a dead process is notified that the connection was refused. */
  reportsDeadReceivers = false;
  readonly #endpoints = new Map<string, SimulatedTransport<Kind>>();
  readonly #cuts = new Set<string>();

  constructor(time: VirtualTime, random: RandomSource) {
    this.#time = time;
    this.#random = random;
  }

  /** Connects a process to an address, and disconnects the process that had the address before. */
  attach(process: SimulatedProcess, self: Sender): SimulatedTransport<Kind> {
    const transport = new SimulatedTransport<Kind>(this, process, self);
    this.#endpoints.set(self.address, transport);
    return transport;
  }

  /** Blocks all messages from one process to another. `*` stands for every process. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Ends a cut. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /** Whether messages can pass from one process to another. Takes names, not addresses. A process always reaches itself. */
  passes(from: string, to: string): boolean {
    if (from === to) return true;
    return !this.#cuts.has(`${from}>${to}`) && !this.#cuts.has(`${from}>*`) && !this.#cuts.has(`*>${to}`);
  }

  /** A random latency for a message between two zones. */
  latencyMs(fromZone: string, toZone: string): number {
    return (fromZone === toZone ? WITHIN_ZONE_MS : BETWEEN_ZONES_MS) + this.#random.unit() * JITTER_MS;
  }

  /** Sends a message in encoded form, so that the receiver gets a copy. */
  deliver(
    from: SimulatedTransport<Kind>,
    address: string,
    message: Kind,
    configurationVersion: number,
  ): void {
    const { loss, duplication, reordering } = this.conditions;
    if (this.#random.unit() < loss) return;
    const copies = this.#random.unit() < duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const target = this.#endpoints.get(address);
      const heldUpMs = this.#random.unit() < reordering ? this.#random.unit() * MAX_REORDER_DELAY_MS : 0;
      const delayMs = this.latencyMs(from.process.zone, target?.process.zone ?? "") + heldUpMs;
      const bytes = ENCODER.encode(message);
      this.#time.after(delayMs, () => this.#arrive(from, address, bytes, configurationVersion));
    }
  }

  #arrive(
    from: SimulatedTransport<Kind>,
    address: string,
    bytes: Uint8Array,
    configurationVersion: number,
  ): void {
    const target = this.#endpoints.get(address);
    if (!target || !this.passes(from.process.name, target.process.name)) return;
    if (!target.process.alive && this.reportsDeadReceivers) from.process.run(() => from.refuse(address));
    target.process.run(() => target.receive(ENCODER.decode(bytes) as Kind, from.self, configurationVersion));
  }
}

const ENCODER = new Encoder({ useRecords: false });

/** A {@link Transport} over the simulated network. */
export class SimulatedTransport<Kind = Message> implements Transport<Kind> {
  readonly process: SimulatedProcess;
  readonly self: Sender;
  configurationVersion = 0;
  readonly #network: SimulatedNetwork<Kind>;
  #handler: MessageHandler<Kind> = () => undefined;
  #onDisconnected: (address: string, reason: DisconnectReason) => void = () => undefined;

  constructor(network: SimulatedNetwork<Kind>, process: SimulatedProcess, self: Sender) {
    this.#network = network;
    this.process = process;
    this.self = self;
  }

  send(address: string, message: Kind): void {
    if (!this.process.alive) return;
    this.#network.deliver(this, address, message, this.configurationVersion);
  }

  onMessage(handler: MessageHandler<Kind>): void {
    this.#handler = handler;
  }

  /** Passes a message to the process's handler. */
  receive(message: Kind, from: Sender, configurationVersion: number): void {
    this.#handler(message, from, configurationVersion);
  }

  /** Sets the handler that is called when a connection is refused. */
  onDisconnected(handler: (address: string, reason: DisconnectReason) => void): void {
    this.#onDisconnected = handler;
  }

  /** Does nothing, as the simulated network has no connections. */
  disconnect(_address: string): void {}

  /** Reports that the connection to an address was refused. */
  refuse(address: string): void {
    this.#onDisconnected(address, "refused");
  }

  async close(): Promise<void> {
    this.#handler = () => undefined;
  }
}
