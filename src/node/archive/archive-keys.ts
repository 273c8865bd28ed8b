/** Keys of a shard's objects in the object store. They sort by the last index that the object contains. */

/** An object of an archive, as described by its key. */
export interface ArchiveObject {
  readonly key: string;
  readonly lastIndex: number;
  /** The index after which a segment's commands start. Undefined for a base, which contains the complete state. */
  readonly afterIndex: number | undefined;
}

const SHARD_DIGITS = 5;
const GENERATION_DIGITS = 4;
const INDEX_DIGITS = 12;
const BASE_SUFFIX = "base";

/** Returns the key prefix of all objects of a shard's generation. */
export function archivePrefix(shard: number, generation: number): string {
  return `archive/${pad(shard, SHARD_DIGITS)}/${pad(generation, GENERATION_DIGITS)}/`;
}

/** Returns the key of a base: the complete state as of an index. */
export function baseKey(shard: number, generation: number, lastIndex: number): string {
  return `${archivePrefix(shard, generation)}${pad(lastIndex, INDEX_DIGITS)}-${BASE_SUFFIX}`;
}

/** Returns the key of a segment: the commands after one index, up to and including another. */
export function segmentKey(shard: number, generation: number, afterIndex: number, lastIndex: number): string {
  return `${archivePrefix(shard, generation)}${pad(lastIndex, INDEX_DIGITS)}-${pad(afterIndex, INDEX_DIGITS)}`;
}

/** Parses the key of a base or a segment. */
export function parseArchiveKey(key: string): ArchiveObject {
  const [last, after] = key.slice(key.lastIndexOf("/") + 1).split("-");
  return { key, lastIndex: Number(last), afterIndex: after === BASE_SUFFIX ? undefined : Number(after) };
}

/**
 * Returns the newest base and the segments that follow it without a gap, in order.
 * Only committed commands are archived, so overlapping objects of different writers agree.
 */
export function findRecoveryChain(objects: readonly ArchiveObject[]): readonly ArchiveObject[] {
  const base = objects.filter((object) => object.afterIndex === undefined).at(-1);
  if (!base) return [];
  const chain = [base];
  for (;;) {
    const { lastIndex } = chain[chain.length - 1];
    const following = objects.filter(
      (object) => object.afterIndex === lastIndex && object.lastIndex > lastIndex,
    );
    const next = following.at(-1);
    if (!next) return chain;
    chain.push(next);
  }
}

function pad(value: number, digits: number): string {
  return String(value).padStart(digits, "0");
}
