import { randomInt } from "node:crypto";
import { SeededRandomSource } from "./random-source.ts";

const SEED_LIMIT = 2 ** 31;

/** Creates a random source seeded by the operating system, so that two boots do not generate the same identifiers. */
export function systemRandom(): SeededRandomSource {
  return new SeededRandomSource(randomInt(SEED_LIMIT) ^ (randomInt(SEED_LIMIT) << 1));
}
