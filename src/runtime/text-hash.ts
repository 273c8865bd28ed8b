import createXxhash from "xxhash-wasm";

/** Non-cryptographic hashes of strings, for distributing keys and detecting differences, not for security. */
export interface TextHash {
  /** 32 bits, as an unsigned number. */
  hash32(text: string): number;
  /** 64 bits, as 16 hexadecimal digits. */
  hash64(text: string): string;
}

/** Loads xxhash, which is a WebAssembly module. */
export async function loadTextHash(): Promise<TextHash> {
  const xxhash = await createXxhash();
  return {
    hash32: (text) => xxhash.h32(text),
    hash64: (text) => xxhash.h64ToString(text),
  };
}
