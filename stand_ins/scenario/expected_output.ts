/**
 * Tells whether an output is the whole and only right one for an input. The
 * endpoint stand-ins make outputs from which the input can be read back: JSON
 * services wrap it, completion engines repeat its end in every token.
 */

/** Tokens that an engine generates, unless it is started with another number. */
const TOKENS = 8;
/** Characters of the prompt that each token repeats. */
const REPEATED_CHARACTERS = 24;

/** Whether the output is right for the input. */
export function isExpectedOutput(output: unknown, input: string): boolean {
  if (typeof output === "string") return isRightText(output, input);
  return unwrap(output) === input;
}

function isRightText(text: string, input: string): boolean {
  const first = text.slice(1, text.indexOf("#0"));
  if (first.length > REPEATED_CHARACTERS || !first.includes(`"${input}"`)) {
    return false;
  }
  const tokens = Array.from({ length: TOKENS }, (_, n) => ` ${first}#${n}`);
  return text === tokens.join("");
}

function unwrap(output: unknown): unknown {
  let value = output;
  while (typeof value === "object" && value !== null) {
    const inner = Object.values(value);
    if (inner.length !== 1) return undefined;
    value = inner[0];
  }
  return value;
}
