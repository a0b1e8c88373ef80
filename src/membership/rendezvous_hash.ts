/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every host ranks the
 * candidates for a key alike, and a lost candidate moves only its own keys.
 */
import murmurhash from "murmurhash";

/** Candidates for a key, the preferred one first. */
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

/** Hashes of candidates, which are few and asked for often. */
const candidateHashes = new Map<string, number>();
const MOST_HASHES = 4_096;

function scoreOf(seed: number, candidate: string): number {
  let hash = candidateHashes.get(candidate);
  if (hash === undefined) {
    if (candidateHashes.size >= MOST_HASHES) candidateHashes.clear();
    hash = murmurhash.v3(candidate);
    candidateHashes.set(candidate, hash);
  }
  return mix(seed ^ hash);
}

/** The finalizer of MurmurHash3: every bit of the input moves every other. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
