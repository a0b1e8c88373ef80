/** The process's log: pino, written as key=value lines. */
import { type Logger, pino } from "pino";
import { keyValueLine } from "./key_value_line.ts";

export type { Logger } from "pino";

/** Writes one line of text. */
export type WriteLine = (line: string) => void;

/** Creates the logger of a host; secrets never enter an event. */
export function createLogger(
  options: { level: string; host: string; writeLine: WriteLine },
): Logger {
  const destination = {
    write(json: string) {
      const event = JSON.parse(json) as Record<string, unknown>;
      options.writeLine(keyValueLine(event));
    },
  };
  return pino({
    level: options.level,
    base: { host: options.host },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (level) => ({ level }) },
    messageKey: "message",
  }, destination);
}

/** Writes lines to standard output, joined for one event-loop turn. */
export function createStdoutWriter(): WriteLine {
  let pending: string[] = [];
  const flush = () => {
    const text = pending.join("\n") + "\n";
    pending = [];
    process.stdout.write(text);
  };
  return (line) => {
    if (pending.length === 0) setImmediate(flush);
    pending.push(line);
  };
}
