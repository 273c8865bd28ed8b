import type { ChatMessage, CompletionRequest } from "../program/records.ts";

/** Tokens that the chat format may add around each message. */
const TOKENS_PER_MESSAGE = 8;

/**
 * An upper bound of a completion's tokens. The tokens of the history were counted by an engine; in new text, no token is
 * shorter than a byte.
 */
export function worstCaseTokens(historyTokens: number, request: CompletionRequest): number {
  return historyTokens + messageTokensBound(request.messages) + request.maxTokens;
}

/** An upper bound of the tokens in messages. */
export function messageTokensBound(messages: readonly ChatMessage[]): number {
  let bound = 0;
  for (const { role, content } of messages) {
    bound += utf8LengthBound(content) + utf8LengthBound(role) + TOKENS_PER_MESSAGE;
  }
  return bound;
}

/**
 * An upper bound of the bytes of a text in UTF-8, without encoding it. Characters beyond the basic multilingual plane
 * count as six bytes instead of four.
 */
export function utf8LengthBound(text: string): number {
  let bytes = 0;
  for (let position = 0; position < text.length; position++) {
    const unit = text.charCodeAt(position);
    if (unit < 0x80) bytes += 1;
    else if (unit < 0x800) bytes += 2;
    else bytes += 3;
  }
  return bytes;
}
