/**
 * The stand-in engine's cache of prompt prefixes: a tree of messages with a limited number of tokens. Programs whose
 * histories begin with the same messages share nodes. The least recently used leaves are evicted first.
 */
import type { ChatMessage } from "../../src/scheduling/program/records.ts";

/** Characters per token in the stand-in engine. */
export const CHARACTERS_PER_TOKEN = 4;

/** Number of tokens of a text in the stand-in engine. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Tokens of a program that were stored in the cache or evicted from it. */
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

/** Stores, matches and evicts prompt prefixes. */
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

  /** Number of tokens in the cache. */
  get usedTokens(): number {
    return this.#used;
  }

  /** Number of tokens of the longest cached prefix of a prompt. */
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

  /** Stores a prompt for a program, and evicts other nodes if the cache exceeds its capacity. */
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

  /** Removes the nodes that only this program uses. */
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

  /** Cached tokens per program. Shared nodes count for each of their programs. */
  holds(): Map<string, number> {
    const holds = new Map<string, number>();
    for (const { programs, tokens } of this.#nodes.values()) {
      for (const program of programs) holds.set(program, (holds.get(program) ?? 0) + tokens);
    }
    return holds;
  }

  /** Evicts leaves until at most `limit` tokens are cached. Nodes used at `nowMs` stay. */
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
