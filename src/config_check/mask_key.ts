import { sha256Hex } from "../utils/sha256.ts";

const SHOWN_DIGITS = 8;

/** Shows the start of a key's SHA-256, which identifies it to its owner. */
export function maskKey(key: string): string {
  return `sha256:${sha256Hex(key).slice(0, SHOWN_DIGITS)}`;
}
