import type { Message } from "../messages/message.ts";

/** The process that sent a message. */
export interface Sender {
  /** Unique per boot. */
  readonly instance: string;
  /** Address for responses: IP address and port. */
  readonly address: string;
}

/** Called for each message that arrives. The order of messages is kept per sender as long as its connection lasts. */
export type MessageHandler<AnyMessage = Message> = (
  message: AnyMessage,
  from: Sender,
  configurationVersion: number,
) => void;

/**
 * Sends internal messages between processes. Delivery is at most once and may fail silently:
 * a sender that needs a response must retry.
 * `AnyMessage` is the union of messages that the processes exchange.
 */
export interface Transport<AnyMessage = Message> {
  /** This process, as other processes see it. */
  readonly self: Sender;
  /**
   * Queues a message. All messages to one address within a turn of the event loop are sent together.
   *
   * @param maxDelayMs how long the message may be delayed to be sent with another one to the same address, in ms; a
   * delayed message is lost when the connection ends
   */
  send(address: string, message: AnyMessage, maxDelayMs?: number): void;
  /** Sets the handler of arriving messages. */
  onMessage(handler: MessageHandler<AnyMessage>): void;
  /** The newest configuration version that this process knows. It is sent with every batch of messages. */
  configurationVersion: number;
  /** Sends the queued messages and closes all connections. */
  close(): Promise<void>;
}
