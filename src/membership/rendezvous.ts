/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every host ranks the
 * candidates for a key alike, and a lost candidate moves only its own keys.
 */
import { sha256 } from "../utils/sha256.ts";

/** Candidates for a key, the preferred one first. */
export function rankCandidates(
  key: string,
  candidates: readonly string[],
): string[] {
  return candidates
    .map((candidate) => ({ candidate, score: sha256(`${key}|${candidate}`) }))
    .sort((a, b) => a.score < b.score ? 1 : -1)
    .map(({ candidate }) => candidate);
}
