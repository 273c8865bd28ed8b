import { Encoder } from "cbor-x";
import type { Message } from "../../src/messages/message.ts";
import type { DisconnectReason } from "../../src/runtime/disconnect-reason.ts";
import type { RandomSource } from "../../src/runtime/random-source.ts";
import type { MessageHandler, Sender, Transport } from "../../src/runtime/transport.ts";
import type { SimulatedProcess, VirtualTime } from "./virtual-time.ts";

/** How the network behaves at the moment. */
export interface NetworkConditions {
  /** Part of the messages that are lost. */
  loss: number;
  /** Part of the messages that arrive twice. */
  duplication: number;
  /** Part of the messages that are held up, and so overtaken by later ones. */
  reordering: number;
}

const WITHIN_ZONE_MS = 0.3;
const BETWEEN_ZONES_MS = 1.2;
const JITTER_MS = 1;
const MAX_REORDER_DELAY_MS = 40;

/** Connects simulated processes; cuts, loses, doubles and reorders by the seed. */
export class SimulatedNetwork<Kind = Message> {
  readonly conditions: NetworkConditions = { loss: 0, duplication: 0, reordering: 0 };
  readonly #time: VirtualTime;
  readonly #random: RandomSource;
  /** Whether a message to a dead process tells its sender that nobody listens there. */
  reportsDeadReceivers = false;
  readonly #endpoints = new Map<string, SimulatedTransport<Kind>>();
  readonly #cuts = new Set<string>();

  constructor(time: VirtualTime, random: RandomSource) {
    this.#time = time;
    this.#random = random;
  }

  /** Connects a process under an address; a process that was there before is disconnected. */
  attach(process: SimulatedProcess, self: Sender): SimulatedTransport<Kind> {
    const transport = new SimulatedTransport<Kind>(this, process, self);
    this.#endpoints.set(self.address, transport);
    return transport;
  }

  /** Lets nothing pass from one place to another. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Ends a cut. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  /** Whether anything passes from one process to another. Names, not addresses. */
  passes(from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`) && !this.#cuts.has(`${from}>*`) && !this.#cuts.has(`*>${to}`);
  }

  /** A random time for a message on its way. */
  latencyMs(fromZone: string, toZone: string): number {
    return (fromZone === toZone ? WITHIN_ZONE_MS : BETWEEN_ZONES_MS) + this.#random.unit() * JITTER_MS;
  }

  /** Sends a copy of a message, as over a wire. */
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

  /** Hands a message to the process. */
  receive(message: Kind, from: Sender, configurationVersion: number): void {
    this.#handler(message, from, configurationVersion);
  }

  /** Sets who is told that nobody listens at an address. */
  onDisconnected(handler: (address: string, reason: DisconnectReason) => void): void {
    this.#onDisconnected = handler;
  }

  /** There are no connections to end here. */
  disconnect(_address: string): void {}

  /** Nobody listens at an address. */
  refuse(address: string): void {
    this.#onDisconnected(address, "refused");
  }

  async close(): Promise<void> {
    this.#handler = () => undefined;
  }
}
