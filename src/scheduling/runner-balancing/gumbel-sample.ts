/**
 * Multipliers of the hash. The first is derived from the golden ratio and spreads consecutive indexes over all 32 bits; the
 * other two are those of MurmurHash3.
 */
const INDEX_FACTOR = 0x9e37_79b1;
const FIRST_FACTOR = 0x85eb_ca6b;
const SECOND_FACTOR = 0xc2b2_ae35;
const RANGE = 2 ** 32;

/**
 * Returns a number from the standard Gumbel distribution. If such a number times a scale is subtracted from each of several
 * costs, the probability that a candidate has the lowest result falls exponentially with its cost in units of the scale.
 *
 * @param sample a random number in [0, 1), the same for all candidates of a choice
 * @param index index of the candidate, so that each candidate gets a different number
 */
export function gumbelSample(sample: number, index: number): number {
  let hash = Math.imul((sample * RANGE) ^ Math.imul(index + 1, INDEX_FACTOR), FIRST_FACTOR);
  hash = Math.imul(hash ^ (hash >>> 13), SECOND_FACTOR);
  hash ^= hash >>> 16;
  const uniform = ((hash >>> 0) + 0.5) / RANGE;
  return -Math.log(-Math.log(uniform));
}
