/**
 * The internal protocol over TCP: one connection per pair of processes, which carries a stream of CBOR values
 * (cbor-x detects where each value ends). The first value names the sender, so that responses use the same connection.
 */
import { createConnection, createServer, type Server, type Socket } from "node:net";
import { Encoder } from "cbor-x";
import type { Message } from "../messages/message.ts";
import { isAddress } from "../ports/is-address.ts";
import { CborReader } from "./cbor-reader.ts";
import { ConnectTimeouts } from "./connect-timeouts.ts";
import { DeferredMessages } from "./deferred-messages.ts";
import type { DisconnectReason } from "./disconnect-reason.ts";
import { HeldBytesBudget } from "./http-server/held-bytes-budget.ts";
import type { ConnectionCloseReason, ConnectionLimits } from "./http-server/paced-connections.ts";
import type { MessageHandler, Sender, Transport } from "./transport.ts";

/**
 * The messages sent to one address in one turn of the event loop. Only the first batch of a connection names the
 * sender.
 */
interface Batch<AnyMessage> {
  readonly from?: Sender;
  readonly configurationVersion: number;
  readonly messages: readonly AnyMessage[];
}

/**
 * One connection. Its encoder remembers the shapes of objects, so that only the first object of a shape includes its
 * keys.
 */
interface Connection {
  readonly socket: Socket;
  readonly encoder: Encoder;
  senderSent: boolean;
  peer: Sender | undefined;
  /** Memory held for a batch that is not complete, in bytes. */
  heldBytes: number;
}

/** Counters of the traffic with all other processes. */
export interface TransportCounters {
  batchesSent: number;
  messagesSent: number;
  bytesSent: number;
  messagesReceived: number;
  bytesReceived: number;
  connectionErrors: number;
}

/** A connection attempt timed out. */
class ConnectTimeoutError extends Error {}

/** Maximum number of bytes buffered for a slow peer before its connection is closed. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Limits of what others may send that are not known as processes of the system, or that send incomplete messages. */
const DEFAULT_LIMITS: ConnectionLimits = { maxConnections: 256, maxHeldBytes: 64 * 1024 * 1024 };

/** A {@link Transport} over TCP connections. */
export class TcpTransport<AnyMessage = Message> implements Transport<AnyMessage> {
  configurationVersion = 0;
  readonly counters: TransportCounters = {
    batchesSent: 0,
    messagesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    bytesReceived: 0,
    connectionErrors: 0,
  };
  readonly #self: Sender;
  readonly #server: Server;
  readonly #connections = new Map<string, Connection>();
  readonly #sockets = new Set<Socket>();
  /** Accepted connections on which no sender has named itself, oldest first. */
  readonly #unknown = new Set<Socket>();
  readonly #limits: ConnectionLimits;
  /** Counts the incomplete messages of all connections. */
  readonly #budget: HeldBytesBudget;
  /** Called when a connection is closed because of a limit. */
  onClosed: (reason: ConnectionCloseReason) => void = () => undefined;
  readonly #outbox = new Map<string, AnyMessage[]>();
  /** Messages that wait to be sent together with others. */
  readonly #deferredMessages = new DeferredMessages<AnyMessage>((address, messages) => {
    for (const message of messages) this.send(address, message);
  });
  readonly #connectTimeouts = new ConnectTimeouts();
  #handler: MessageHandler<AnyMessage> = () => undefined;
  #onDisconnected: (address: string, reason: DisconnectReason) => void = () => undefined;
  #flushScheduled = false;
  #closed = false;

  private constructor(self: Sender, server: Server, limits: ConnectionLimits) {
    this.#self = self;
    this.#server = server;
    this.#limits = limits;
    this.#budget = new HeldBytesBudget(limits.maxHeldBytes);
    server.on("connection", (socket) => this.#accept(socket));
  }

  /** Listens at `self.address`. For port 0, a free port is assigned. */
  static async listen<AnyMessage = Message>(
    self: Sender,
    limits = DEFAULT_LIMITS,
  ): Promise<TcpTransport<AnyMessage>> {
    const { host, port } = parseAddress(self.address);
    const server = createServer({ noDelay: true });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    const bound = server.address();
    const boundPort = typeof bound === "object" && bound ? bound.port : port;
    const address = `${host}:${boundPort}`;
    return new TcpTransport<AnyMessage>({ instance: self.instance, address }, server, limits);
  }

  get self(): Sender {
    return this.#self;
  }

  onMessage(handler: MessageHandler<AnyMessage>): void {
    this.#handler = handler;
  }

  /** Sets the handler that is called when the connection to an address has ended or could not be established. */
  onDisconnected(handler: (address: string, reason: DisconnectReason) => void): void {
    this.#onDisconnected = handler;
  }

  /** Closes the connection to an address, if there is one. The next message opens a new one. */
  disconnect(address: string): void {
    this.#connections.get(address)?.socket.destroy();
  }

  send(address: string, message: AnyMessage, maxDelayMs = 0): void {
    if (this.#closed) return;
    if (maxDelayMs > 0 && !this.#outbox.has(address)) {
      this.#deferredMessages.add(address, message, maxDelayMs);
      return;
    }
    const queue = this.#outbox.get(address);
    if (queue) queue.push(message);
    else this.#outbox.set(address, [...this.#deferredMessages.take(address), message]);
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    setImmediate(() => this.#flush());
  }

  async close(): Promise<void> {
    this.#deferredMessages.flush();
    this.#flush();
    this.#closed = true;
    for (const socket of this.#sockets) socket.destroySoon();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #flush(): void {
    this.#flushScheduled = false;
    const outbox = [...this.#outbox];
    this.#outbox.clear();
    for (const [address, messages] of outbox) {
      if (address === this.#self.address) this.#deliverLocally(messages);
      else this.#write(address, messages);
    }
  }

  #deliverLocally(messages: readonly AnyMessage[]): void {
    for (const message of messages) this.#handler(message, this.#self, this.configurationVersion);
  }

  #write(address: string, messages: readonly AnyMessage[]): void {
    const connection = this.#connections.get(address) ?? this.#connect(address);
    const { socket, encoder } = connection;
    if (socket.writableLength > MAX_BUFFERED_BYTES) {
      socket.destroy();
      return;
    }
    const { configurationVersion } = this;
    const batch: Batch<AnyMessage> = connection.senderSent
      ? { configurationVersion, messages }
      : { from: this.#self, configurationVersion, messages };
    connection.senderSent = true;
    const bytes = encoder.encode(batch);
    socket.write(bytes);
    this.counters.batchesSent += 1;
    this.counters.messagesSent += messages.length;
    this.counters.bytesSent += bytes.length;
  }

  #connect(address: string): Connection {
    const { host, port } = parseAddress(address);
    const socket = createConnection({ host, port, noDelay: true });
    // A machine that is powered off does not respond: without a time-out, the attempt would hang for minutes.
    socket.setTimeout(this.#connectTimeouts.timeoutMs(address), () =>
      this.#abortConnectAttempt(address, socket),
    );
    socket.once("connect", () => {
      this.#connectTimeouts.recordResponse(address);
      socket.setTimeout(0);
    });
    const connection = this.#setUpConnection(socket);
    this.#registerConnection(address, connection);
    return connection;
  }

  /**
   * Aborts a connection attempt that timed out. It first polls the sockets, since the attempt may have succeeded while
   * this process was too busy to notice.
   */
  #abortConnectAttempt(address: string, socket: Socket): void {
    setImmediate(() => {
      if (!socket.connecting) return;
      this.#connectTimeouts.recordTimeout(address);
      socket.destroy(new ConnectTimeoutError());
    });
  }

  /** Accepts a connection in place of the oldest one whose other end is unknown, if there are too many of these. */
  #accept(socket: Socket): void {
    if (this.#unknown.size >= this.#limits.maxConnections) {
      const [oldest] = this.#unknown;
      this.onClosed("replaced");
      if (oldest) this.#unknown.delete(oldest);
      oldest?.destroy();
    }
    this.#unknown.add(socket);
    socket.on("close", () => this.#unknown.delete(socket));
    this.#setUpConnection(socket);
  }

  #setUpConnection(socket: Socket): Connection {
    const encoder = new Encoder({ sequential: true, structures: [] });
    const connection: Connection = { socket, encoder, senderSent: false, peer: undefined, heldBytes: 0 };
    this.#sockets.add(socket);
    const reader = new CborReader();
    socket.on("data", (bytes: Buffer) => this.#onBytes(bytes, reader, connection));
    socket.on("error", () => {
      this.counters.connectionErrors += 1;
    });
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#budget.change(connection.heldBytes, 0);
      connection.heldBytes = 0;
    });
    return connection;
  }

  #onBytes(bytes: Buffer, reader: CborReader, connection: Connection): void {
    this.counters.bytesReceived += bytes.length;
    let batches: readonly unknown[];
    try {
      batches = reader.push(bytes);
    } catch {
      // The other end does not speak the protocol.
      connection.socket.destroy();
      return;
    }
    this.#countHeld(connection, reader.heldBytes);
    for (const batch of batches) this.#onBatch(batch, connection);
  }

  #countHeld(connection: Connection, bytes: number): void {
    if (connection.heldBytes === bytes || connection.socket.destroyed) return;
    this.#budget.change(connection.heldBytes, bytes);
    connection.heldBytes = bytes;
    if (!this.#budget.isExceededBy(bytes)) return;
    this.onClosed("memoryShort");
    connection.socket.destroy();
  }

  #onBatch(batch: unknown, connection: Connection): void {
    if (this.#closed || !isBatch<AnyMessage>(batch)) return void connection.socket.destroy();
    if (batch.from) {
      connection.peer = batch.from;
      this.#unknown.delete(connection.socket);
      this.#dropStaleConnection(batch.from, connection);
    }
    const { peer } = connection;
    if (!peer) return void connection.socket.destroy();
    this.#registerConnection(peer.address, connection);
    this.counters.messagesReceived += batch.messages.length;
    for (const message of batch.messages) this.#handler(message, peer, batch.configurationVersion);
  }

  /**
   * Closes a stale connection to the address of a process that has just identified itself: one to an earlier process at
   * this address, or an attempt that is still connecting.
   */
  #dropStaleConnection(peer: Sender, connection: Connection): void {
    const existing = this.#connections.get(peer.address);
    if (!existing || existing === connection) return;
    const isConnecting = existing.peer === undefined && existing.socket.connecting;
    const isEarlierInstance = existing.peer !== undefined && existing.peer.instance !== peer.instance;
    if (!isConnecting && !isEarlierInstance) return;
    this.#connections.delete(peer.address);
    existing.socket.destroy();
  }

  /** Registers the connection to use for an address. Responses to a process use the connection that it opened. */
  #registerConnection(address: string, connection: Connection): void {
    if (this.#connections.has(address)) return;
    this.#connections.set(address, connection);
    let reason: DisconnectReason = "ended";
    connection.socket.on("error", (error: NodeJS.ErrnoException) => {
      if (error instanceof ConnectTimeoutError) reason = "unanswered";
      else if (error.code === "ECONNREFUSED") reason = "refused";
      if (reason !== "unanswered") this.#connectTimeouts.recordResponse(address);
    });
    connection.socket.on("close", () => {
      if (this.#connections.get(address) !== connection) return;
      this.#connections.delete(address);
      this.#deferredMessages.take(address);
      if (!this.#closed) this.#onDisconnected(address, reason);
    });
  }
}

/** Splits `IP:port`. */
export function parseAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function isBatch<AnyMessage>(value: unknown): value is Batch<AnyMessage> {
  const { from, messages } = (value ?? {}) as Partial<Batch<unknown>>;
  if (from !== undefined && !isSender(from)) return false;
  return (
    Array.isArray(messages) && messages.every((message) => typeof message === "object" && message !== null)
  );
}

function isSender(value: unknown): value is Sender {
  const { address, instance } = (value ?? {}) as Partial<Sender>;
  return isAddress(address) && typeof instance === "string";
}
