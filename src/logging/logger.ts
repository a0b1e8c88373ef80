/** The process's log: pino, written as key=value lines. */
import { type Logger, pino } from "pino";
import { keyValueLine, type LogEvent } from "./key_value_line.ts";

export type { Logger } from "pino";

/** Writes one line of text. */
export type WriteLine = (line: string) => void;

/**
 * Creates the logger of a host; secrets never enter an event. pino decides by
 * level; its hook writes the line, since its own lines are JSON.
 */
export function createLogger(
  options: { level: string; host: string; writeLine: WriteLine },
): Logger {
  const time = createTimestamp();
  return pino({
    level: options.level,
    hooks: {
      logMethod([event], _method, level) {
        options.writeLine(keyValueLine({
          time: time(),
          level: pino.levels.labels[level],
          host: options.host,
          ...event as unknown as LogEvent,
        }));
      },
    },
  });
}

/** ISO time, made once for all events of a millisecond. */
function createTimestamp(): () => string {
  let made_ms = 0;
  let text = "";
  return () => {
    const now_ms = Date.now();
    if (now_ms !== made_ms) {
      made_ms = now_ms;
      text = new Date(now_ms).toISOString();
    }
    return text;
  };
}

/** A writer of lines and the means to write what waits before the end. */
export interface LineWriter {
  writeLine: WriteLine;
  flush: () => void;
}

const STANDARD_OUTPUT = 1;
const BATCH_BYTES = 8_192;
const FLUSH_EVERY_MS = 100;

/** Writes lines to standard output in batches, without holding up the loop. */
export function createStdoutWriter(): LineWriter {
  const output = pino.destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    minLength: BATCH_BYTES,
    periodicFlush: FLUSH_EVERY_MS,
  });
  return {
    writeLine: (line) => void output.write(line + "\n"),
    flush: () => output.flushSync(),
  };
}
