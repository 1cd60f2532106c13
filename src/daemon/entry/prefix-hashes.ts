/**
 * Chained hashes of a prompt's blocks, by which placement compares prefixes.
 * Each hash covers all blocks before it, so that equal hashes mean equal text
 * from the start of the prompt; a rare collision costs one prefill.
 */
import { crc32 } from "node:zlib";

/** Longer prompts have their common part within the first blocks. */
const MAXIMUM_BLOCKS = 32;
/** Combines a 32-bit hash and its block number in one number. */
const BLOCK_NUMBER_FACTOR = 2 ** 32;

export function prefixHashes(
  prompt: string,
  blockCharacters: number,
): readonly number[] {
  const hashes: number[] = [];
  let hash = 0;
  const blocks = Math.floor(prompt.length / blockCharacters);
  for (let block = 0; block < Math.min(blocks, MAXIMUM_BLOCKS); block += 1) {
    const from = block * blockCharacters;
    hash = crc32(prompt.slice(from, from + blockCharacters), hash);
    hashes.push(hash + block * BLOCK_NUMBER_FACTOR);
  }
  return hashes;
}
