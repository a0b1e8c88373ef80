/**
 * Formats log events as lines of key=value pairs. Values with spaces, quotes,
 * equals signs, backslashes or control characters are written as JSON strings,
 * so that an event is always a single line.
 */

/** Printable characters except space, quote, equals sign and backslash. */
const UNQUOTED_VALUE = /^[!#-<>-[\]-~\u00a1-\uffff]+$/;

/** The fields of a log event, in the order in which they are written. */
export interface LogEvent {
  [field: string]: unknown;
}

/** Formats an event; undefined fields are left out. */
export function formatKeyValueLine(event: LogEvent): string {
  let line = "";
  for (const key in event) {
    const value = event[key];
    if (value === undefined) continue;
    if (line !== "") line += " ";
    line += `${key}=${formatValue(value)}`;
  }
  return line;
}

function formatValue(value: unknown): string {
  if (typeof value === "number" || typeof value === "boolean") {
    return String(value);
  }
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}
