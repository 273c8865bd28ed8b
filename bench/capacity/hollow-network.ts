import { Encoder } from "cbor-x";
import type { Message } from "../../src/messages/message.ts";
import type { MessageHandler, Sender, Transport } from "../../src/runtime/transport.ts";

/** Bytes and messages that one mechanism has sent. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** The mechanism under which the results count each type of message. */
const MECHANISM_BY_MESSAGE_TYPE: Readonly<Record<string, string>> = {
  shard: "shard groups",
  shardHeartbeats: "shard groups",
  shardAcknowledgements: "shard groups",
  announceRunners: "load of runners",
  configurationNews: "configuration",
  machineListNews: "list of machines",
  rpcRequest: "requests",
  rpcResponse: "requests",
};

/** Bytes of TCP and IP headers added to each batch. */
const HEADER_BYTES = 52;

/** Connects many hollow nodes within one process; messages are encoded and counted as they would be on the wire. */
export class HollowNetwork {
  readonly byMechanism = new Map<string, TrafficCount>();
  batches = 0;
  readonly #endpoints = new Map<string, HollowTransport>();

  /** Connects a node. */
  attach(self: Sender): HollowTransport {
    const transport = new HollowTransport(this, self);
    this.#endpoints.set(self.address, transport);
    return transport;
  }

  /** Resets all counts. */
  reset(): void {
    this.byMechanism.clear();
    this.batches = 0;
  }

  /** Delivers a batch of messages. */
  deliver(from: HollowTransport, address: string, messages: readonly Message[]): void {
    const target = this.#endpoints.get(address);
    const batch = { configurationVersion: from.configurationVersion, messages };
    const bytes = from.encoderFor(address).encode(batch);
    this.#count(messages, bytes.length);
    if (!target) return;
    const arrived = target.decoderFor(from.self.address).decode(bytes) as typeof batch;
    setImmediate(() => {
      for (const message of arrived.messages)
        target.receive(message, from.self, arrived.configurationVersion);
    });
  }

  /** Splits the bytes of a batch among the mechanisms in proportion to the size of each message encoded alone. */
  #count(messages: readonly Message[], batchBytes: number): void {
    this.batches += 1;
    const sizes = messages.map((message) => PLAIN_ENCODER.encode(message).length);
    const sum = sizes.reduce((total, size) => total + size, 0);
    for (const [index, message] of messages.entries()) {
      const mechanism = MECHANISM_BY_MESSAGE_TYPE[message.type] ?? "calls";
      const count = this.byMechanism.get(mechanism) ?? { messages: 0, bytes: 0 };
      count.messages += 1;
      count.bytes += ((batchBytes + HEADER_BYTES) * sizes[index]) / sum;
      this.byMechanism.set(mechanism, count);
    }
  }
}

const PLAIN_ENCODER = new Encoder({ useRecords: false });

/** The transport of one hollow node; batches messages as the TCP transport does. */
export class HollowTransport implements Transport {
  readonly self: Sender;
  configurationVersion = 0;
  readonly #network: HollowNetwork;
  readonly #outbox = new Map<string, Message[]>();
  readonly #encoders = new Map<string, Encoder>();
  readonly #decoders = new Map<string, Encoder>();
  #handler: MessageHandler = () => undefined;
  #scheduled = false;

  constructor(network: HollowNetwork, self: Sender) {
    this.#network = network;
    this.self = self;
  }

  encoderFor(address: string): Encoder {
    return coderFor(this.#encoders, address);
  }

  decoderFor(address: string): Encoder {
    return coderFor(this.#decoders, address);
  }

  send(address: string, message: Message): void {
    const queue = this.#outbox.get(address);
    if (queue) queue.push(message);
    else this.#outbox.set(address, [message]);
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => this.#flush());
  }

  onMessage(handler: MessageHandler): void {
    this.#handler = handler;
  }

  receive(message: Message, from: Sender, configurationVersion: number): void {
    this.#handler(message, from, configurationVersion);
  }

  async close(): Promise<void> {
    this.#handler = () => undefined;
  }

  #flush(): void {
    this.#scheduled = false;
    const outbox = [...this.#outbox];
    this.#outbox.clear();
    for (const [address, messages] of outbox) this.#network.deliver(this, address, messages);
  }
}

/** Returns the coder of a connection and direction; as in the TCP transport, each has its own. */
function coderFor(coders: Map<string, Encoder>, address: string): Encoder {
  const coder = coders.get(address) ?? new Encoder({ sequential: true, structures: [] });
  coders.set(address, coder);
  return coder;
}
