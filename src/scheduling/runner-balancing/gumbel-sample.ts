/** A golden-ratio step spreads consecutive indexes over all 32 bits; the two others are those of MurmurHash3. */
const INDEX_FACTOR = 0x9e37_79b1;
const FIRST_FACTOR = 0x85eb_ca6b;
const SECOND_FACTOR = 0xc2b2_ae35;
const RANGE = 2 ** 32;

/**
 * A number from the standard Gumbel distribution. The least of several costs, each less such a number times a scale, is
 * each of them with a probability that falls exponentially with its cost in units of that scale.
 *
 * @param sample a number in [0, 1), drawn at random for the whole choice
 * @param index of the candidate, so that each gets a number of its own
 */
export function gumbelSample(sample: number, index: number): number {
  let hash = Math.imul((sample * RANGE) ^ Math.imul(index + 1, INDEX_FACTOR), FIRST_FACTOR);
  hash = Math.imul(hash ^ (hash >>> 13), SECOND_FACTOR);
  hash ^= hash >>> 16;
  const uniform = ((hash >>> 0) + 0.5) / RANGE;
  return -Math.log(-Math.log(uniform));
}
