/**
 * Names of a prompt's prefixes, block by block, as placement compares them.
 * Each is chained to the one before it, so that equal names mean equal text
 * from the first character on; a rare collision costs one prefill.
 */
import { crc32 } from "node:zlib";

/** Longer prompts share what they share within the first blocks. */
const MOST_BLOCKS = 32;
/** Keeps a hash and the number of its block apart in one number. */
const BLOCK_FACTOR = 2 ** 32;

export function prefixHashes(
  prompt: string,
  blockCharacters: number,
): readonly number[] {
  const hashes: number[] = [];
  let hash = 0;
  const blocks = Math.floor(prompt.length / blockCharacters);
  for (let block = 0; block < Math.min(blocks, MOST_BLOCKS); block += 1) {
    const from = block * blockCharacters;
    hash = crc32(prompt.slice(from, from + blockCharacters), hash);
    hashes.push(hash + block * BLOCK_FACTOR);
  }
  return hashes;
}
