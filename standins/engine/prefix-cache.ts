/**
 * The stand-in engine's cache of prompt prefixes: a tree of messages, shared between programs whose histories
 * begin alike, within a bound on tokens. Least recently used leaves go first.
 */
import type { ChatMessage } from "../../src/scheduling/program/records.ts";

/** Characters per token in the stand-in. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens of a text, as the stand-in counts them. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** A change of the cache. */
export interface CacheChange {
  readonly type: "stored" | "evicted";
  readonly program: string;
  readonly tokens: number;
}

interface CacheNode {
  readonly key: string;
  readonly parent: CacheNode | undefined;
  readonly tokens: number;
  readonly programs: Set<string>;
  children: number;
  lastUsedMs: number;
}

/** See the module's comment. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #hash: (text: string) => string;
  readonly #nodes = new Map<string, CacheNode>();
  #used = 0;

  /** @param capacity in tokens */
  constructor(capacity: number, hash: (text: string) => string) {
    this.#capacity = capacity;
    this.#hash = hash;
  }

  /** Tokens held. */
  get usedTokens(): number {
    return this.#used;
  }

  /** Tokens of a prompt that are held, from its beginning. */
  match(messages: readonly ChatMessage[], nowMs: number): number {
    let tokens = 0;
    for (const key of this.#prefixKeys(messages)) {
      const node = this.#nodes.get(key);
      if (!node) break;
      node.lastUsedMs = nowMs;
      tokens += node.tokens;
    }
    return tokens;
  }

  /** Stores a prompt for a program and makes room for it. */
  store(program: string, messages: readonly ChatMessage[], nowMs: number): CacheChange[] {
    const changes: CacheChange[] = [];
    let parent: CacheNode | undefined;
    let stored = 0;
    for (const [position, key] of this.#prefixKeys(messages).entries()) {
      const node: CacheNode = this.#nodes.get(key) ?? this.#add(key, parent, messages[position], nowMs);
      node.programs.add(program);
      node.lastUsedMs = nowMs;
      stored += node.tokens;
      parent = node;
    }
    changes.push({ type: "stored", program, tokens: stored });
    changes.push(...this.#evictTo(this.#capacity, nowMs));
    return changes;
  }

  /** Drops what is held for a program alone. */
  release(program: string): CacheChange[] {
    let tokens = 0;
    const held = [...this.#nodes.values()].filter((node) => node.programs.delete(program));
    for (const node of held.reverse()) {
      if (node.programs.size > 0 || node.children > 0) continue;
      this.#remove(node);
      tokens += node.tokens;
    }
    return tokens > 0 ? [{ type: "evicted", program, tokens }] : [];
  }

  /** Tokens held per program; shared ones count for each. */
  holds(): Map<string, number> {
    const holds = new Map<string, number>();
    for (const { programs, tokens } of this.#nodes.values()) {
      for (const program of programs) holds.set(program, (holds.get(program) ?? 0) + tokens);
    }
    return holds;
  }

  /** Makes room until at most `limit` tokens are held. */
  #evictTo(limit: number, nowMs: number): CacheChange[] {
    if (this.#used <= limit) return [];
    const evicted = new Map<string, number>();
    const leaves = [...this.#nodes.values()].sort((left, right) => left.lastUsedMs - right.lastUsedMs);
    let progress = true;
    while (this.#used > limit && progress) {
      progress = false;
      for (const node of leaves) {
        if (this.#used <= limit) break;
        if (node.children > 0 || !this.#nodes.has(node.key) || node.lastUsedMs === nowMs) continue;
        this.#remove(node);
        progress = true;
        for (const program of node.programs) evicted.set(program, (evicted.get(program) ?? 0) + node.tokens);
      }
    }
    return [...evicted].map(([program, tokens]) => ({ type: "evicted", program, tokens }));
  }

  #add(key: string, parent: CacheNode | undefined, message: ChatMessage, nowMs: number): CacheNode {
    const node: CacheNode = {
      key,
      parent,
      tokens: countTokens(message.content),
      programs: new Set(),
      children: 0,
      lastUsedMs: nowMs,
    };
    if (parent) parent.children += 1;
    this.#nodes.set(key, node);
    this.#used += node.tokens;
    return node;
  }

  #remove(node: CacheNode): void {
    this.#nodes.delete(node.key);
    this.#used -= node.tokens;
    if (node.parent) node.parent.children -= 1;
  }

  #prefixKeys(messages: readonly ChatMessage[]): string[] {
    let key = "";
    return messages.map(({ role, content }) => {
      key = this.#hash(`${key}|${role}|${content}`);
      return key;
    });
  }
}
