/**
 * Renders a log event as one line of key=value pairs. Values with spaces,
 * quotes, equals signs or control characters are written as JSON strings, so
 * that an event never spans two lines.
 */

/** Printable characters other than space, quote, equals sign and backslash. */
const PLAIN = /^[!#-<>-[\]-~\u00a1-\uffff]+$/;

/** A log event: fields in the order in which they are written. */
export interface LogEvent {
  [field: string]: unknown;
}

/** Renders an event's fields; undefined ones are left out. */
export function formatKeyValueLine(event: LogEvent): string {
  let line = "";
  for (const key in event) {
    const value = event[key];
    if (value === undefined) continue;
    if (line !== "") line += " ";
    line += `${key}=${valueText(value)}`;
  }
  return line;
}

function valueText(value: unknown): string {
  if (typeof value === "number" || typeof value === "boolean") {
    return String(value);
  }
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}
