/**
 * Renders a log event as one line of key=value pairs. Values with spaces,
 * quotes, equals signs or control characters are written as JSON strings, so
 * that an event never spans two lines.
 */

const PLAIN = /^[^\s"=\\\p{Cc}]+$/u;

/** Renders an event's fields in their order. */
export function keyValueLine(event: Record<string, unknown>): string {
  return Object.entries(event)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${valueText(value)}`)
    .join(" ");
}

function valueText(value: unknown): string {
  const text = typeof value === "object" && value !== null
    ? JSON.stringify(value)
    : String(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}
