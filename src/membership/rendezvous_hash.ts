/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every host ranks the
 * candidates for a key in the same order, and losing a candidate moves only the
 * keys that were assigned to it.
 */
import murmurhash from "murmurhash";

/** Ranks the candidates for a key in order of preference. */
export function rankCandidates(
  key: string,
  candidates: readonly string[],
): string[] {
  const seed = murmurhash.v3(key);
  return candidates
    .map((candidate) => ({ candidate, score: scoreOf(seed, candidate) }))
    .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/** Cached hashes of candidates, which are few and looked up often. */
const candidateHashes = new Map<string, number>();
const MAX_CACHED_HASHES = 4_096;

function scoreOf(seed: number, candidate: string): number {
  let hash = candidateHashes.get(candidate);
  if (hash === undefined) {
    if (candidateHashes.size >= MAX_CACHED_HASHES) candidateHashes.clear();
    hash = murmurhash.v3(candidate);
    candidateHashes.set(candidate, hash);
  }
  return mix(seed ^ hash);
}

/** The MurmurHash3 finalizer: each input bit affects every output bit. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
