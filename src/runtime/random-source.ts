import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TOKEN_ALPHABET = "abcdefghijkmnpqrstuvwxyz23456789";

/**
 * The source of random numbers for drivers, used for jitter, identifiers and samples. The simulation uses a fixed
 * seed.
 */
export interface RandomSource {
  /** A number in [0, 1). */
  unit(): number;
  /** An integer in [0, limit). */
  below(limit: number): number;
  /** A random string of letters and digits without those that are easily confused, such as `l` and `1`. */
  token(length: number): string;
}

/** A random source that generates the same numbers for the same seed. */
export class SeededRandomSource implements RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  unit(): number {
    return uniformFloat64(this.#generator);
  }

  below(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  token(length: number): string {
    let text = "";
    for (let position = 0; position < length; position++)
      text += TOKEN_ALPHABET[this.below(TOKEN_ALPHABET.length)];
    return text;
  }
}
