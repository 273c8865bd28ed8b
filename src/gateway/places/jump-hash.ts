const HASH_RANGE = 2 ** 32;
const INCREMENT = 0x9e3779b9;
const MULTIPLIER_A = 0x85ebca6b;
const MULTIPLIER_B = 0xc2b2ae35;

/**
 * The bucket of a key, by jump consistent hashing (Lamping and Veach). Keys spread evenly, and adding or removing a bucket
 * moves only as many keys as that bucket holds. It takes a few steps, even with many buckets.
 *
 * @param key a 32-bit hash
 */
export function jumpHash(key: number, buckets: number): number {
  let state = key;
  let bucket = 0;
  for (let next = 0; next < buckets; ) {
    bucket = next;
    state = (state + INCREMENT) | 0;
    next = Math.floor(((bucket + 1) * HASH_RANGE) / (mix(state) + 1));
  }
  return bucket;
}

function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, MULTIPLIER_A);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MULTIPLIER_B);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
