import { Encoder } from "cbor-x";
import type { ObjectStore } from "../../ports/objects/object-store.ts";
import { type ShardCommand, type ShardSnapshot, ShardState } from "../../scheduling/shard-state.ts";
import { archivePrefix, baseKey, findRecoveryChain, parseArchiveKey, segmentKey } from "./archive-keys.ts";

/** A shard's complete state as of an index of its journal. */
export interface ArchivedState {
  readonly lastIndex: number;
  readonly state: ShardSnapshot;
}

const CODEC = new Encoder({ useRecords: false });

/** Reads and writes the archives of shards in the object store. */
export class ShardArchive {
  readonly #objects: ObjectStore;
  readonly #hash: (text: string) => string;

  constructor(objects: ObjectStore, hash: (text: string) => string) {
    this.#objects = objects;
    this.#hash = hash;
  }

  /** Writes a complete state, and then removes the older objects, which it replaces. */
  async writeBase(shard: number, generation: number, archived: ArchivedState): Promise<void> {
    await this.#objects.put(baseKey(shard, generation, archived.lastIndex), CODEC.encode(archived.state));
    const keys = await this.#objects.list(archivePrefix(shard, generation));
    for (const key of keys) {
      if (parseArchiveKey(key).lastIndex < archived.lastIndex) await this.#objects.remove(key);
    }
  }

  /** Writes the commands after one index, up to and including another. */
  async writeSegment(
    shard: number,
    generation: number,
    afterIndex: number,
    lastIndex: number,
    commands: readonly ShardCommand[],
  ): Promise<void> {
    await this.#objects.put(segmentKey(shard, generation, afterIndex, lastIndex), CODEC.encode(commands));
  }

  /** Rebuilds the newest archived state. Returns undefined if nothing was archived or an object is missing. */
  async read(shard: number, generation: number): Promise<ArchivedState | undefined> {
    const keys = await this.#objects.list(archivePrefix(shard, generation));
    const chain = findRecoveryChain(keys.map(parseArchiveKey));
    if (chain.length === 0) return undefined;
    const state = new ShardState(this.#hash);
    for (const { key, afterIndex } of chain) {
      const bytes = await this.#objects.get(key);
      if (!bytes) return undefined;
      if (afterIndex === undefined) state.restore(CODEC.decode(bytes) as ShardSnapshot);
      else for (const command of CODEC.decode(bytes) as ShardCommand[]) state.apply(command);
    }
    return { lastIndex: chain[chain.length - 1].lastIndex, state: state.toSnapshot() };
  }
}
