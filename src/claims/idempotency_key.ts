/** The two forms of idempotency key. */
import { validate, version } from "uuid";

/** Kinds of key. */
export enum KeyKind {
  /** Made by an entry host; only that process may ever run it. */
  Minted = "minted",
  /** A UUID of version 7, made by the caller. */
  Caller = "caller",
}

/** A parsed key. */
export type IdempotencyKey =
  | { kind: KeyKind.Minted; text: string; incarnation: string; number: number }
  | { kind: KeyKind.Caller; text: string; issued_ms: number };

const MINTED = /^minted-([0-9a-f]{16})-(\d{1,12})$/;
const UUID_VERSION = 7;
const UUID_TIME_DIGITS = 12;

/** Parses a key; undefined if it has neither form. */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const minted = MINTED.exec(text);
  if (minted?.[1] !== undefined) {
    const [, incarnation, number] = minted;
    return {
      kind: KeyKind.Minted,
      text,
      incarnation,
      number: Number(number),
    };
  }
  if (!validate(text) || version(text) !== UUID_VERSION) return undefined;
  const digits = text.replaceAll("-", "").slice(0, UUID_TIME_DIGITS);
  const issued_ms = Number.parseInt(digits, 16);
  return { kind: KeyKind.Caller, text: text.toLowerCase(), issued_ms };
}

/** The text of a minted key. */
export function mintedKeyText(incarnation: string, number: number): string {
  return `minted-${incarnation}-${number}`;
}
