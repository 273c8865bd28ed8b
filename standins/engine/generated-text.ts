import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { ChatMessage } from "../../src/scheduling/program/records.ts";
import { CHARACTERS_PER_TOKEN } from "./prefix-cache.ts";

const MIN_ANSWER_TOKENS = 8;
const ANSWER_TOKENS_RANGE = 56;
const LENGTH_DIRECTIVE = /#tokens=(\d+)/;

/** The number of tokens to generate: `#tokens=N` in the last message if present, otherwise derived from the seed. */
export function answerTokenCount(messages: readonly ChatMessage[], maxTokens: number, seed: number): number {
  const directive = LENGTH_DIRECTIVE.exec(messages.at(-1)?.content ?? "");
  const wanted = directive ? Number(directive[1]) : MIN_ANSWER_TOKENS + (seed % ANSWER_TOKENS_RANGE);
  return Math.max(1, Math.min(wanted, maxTokens));
}

/** Generates an unlimited sequence of tokens, the same for the same seed. */
export class GeneratedText {
  readonly #random: SeededRandomSource;

  /** @param skipTokens number of tokens that were already generated elsewhere */
  constructor(seed: number, skipTokens: number) {
    this.#random = new SeededRandomSource(seed);
    for (let skipped = 0; skipped < skipTokens; skipped++) this.next();
  }

  /** The next token's text. */
  next(): string {
    return `${this.#random.token(CHARACTERS_PER_TOKEN - 1)} `;
  }
}
