import type { Message } from "../messages/message.ts";

/** Who sent a message. */
export interface Sender {
  /** Unique per boot. */
  readonly instance: string;
  /** Where answers go: IP address and port. */
  readonly address: string;
}

/** Called for each message that arrives, in order per sender while its connection lasts. */
export type MessageHandler<AnyMessage = Message> = (
  message: AnyMessage,
  from: Sender,
  configurationVersion: number,
) => void;

/**
 * Carries internal messages between processes. Delivery is at most once and may fail silently:
 * whoever needs an answer asks again.
 * `AnyMessage` is the union of messages that the processes exchange.
 */
export interface Transport<AnyMessage = Message> {
  /** This process, as others see it. */
  readonly self: Sender;
  /**
   * Queues a message; all messages to one address within a turn of the event loop travel together.
   *
   * @param maxDelayMs how long the message may wait for another one to the address to travel with, in ms; it is lost when the
   * connection ends meanwhile
   */
  send(address: string, message: AnyMessage, maxDelayMs?: number): void;
  /** Sets who is called for arriving messages. */
  onMessage(handler: MessageHandler<AnyMessage>): void;
  /** The newest configuration version known here; travels with every batch of messages. */
  configurationVersion: number;
  /** Ends all connections. */
  close(): Promise<void>;
}
