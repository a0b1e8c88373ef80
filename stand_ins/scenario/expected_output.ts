/**
 * Checks that an output is complete and belongs to its input. The outputs of
 * the endpoint stand-ins contain the input: JSON services wrap it in an object
 * for each stage, completion engines repeat the end of the prompt in every
 * token.
 */

/** Default of the endpoint stand-in's `--tokens`. */
const TOKENS_PER_COMPLETION = 8;
/** Characters from the end of the prompt that each token repeats. */
const MAX_REPEATED_CHARACTERS = 24;

/** Whether the output is the complete expected output for the input. */
export function isExpectedOutput(output: unknown, input: string): boolean {
  if (typeof output === "string") return isExpectedText(output, input);
  return unwrapStages(output) === input;
}

function isExpectedText(text: string, input: string): boolean {
  const repeated = text.slice(1, text.indexOf("#0"));
  if (
    repeated.length > MAX_REPEATED_CHARACTERS ||
    !repeated.includes(`"${input}"`)
  ) {
    return false;
  }
  const tokens = Array.from(
    { length: TOKENS_PER_COMPLETION },
    (_, n) => ` ${repeated}#${n}`,
  );
  return text === tokens.join("");
}

function unwrapStages(output: unknown): unknown {
  let value = output;
  while (typeof value === "object" && value !== null) {
    const inner = Object.values(value);
    if (inner.length !== 1) return undefined;
    value = inner[0];
  }
  return value;
}
