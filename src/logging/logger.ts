/** The process's logger, based on pino, which writes key=value lines. */
import { type Logger, pino } from "pino";
import { TokenBucket } from "../utils/token_bucket.ts";
import { formatKeyValueLine, type LogEvent } from "./key_value_line.ts";

export type { Logger } from "pino";

/** Writes one line, given without its line break. */
export type WriteLine = (line: string) => void;

/**
 * Creates the logger of a host. Events must not contain secrets. pino filters
 * by level; a hook formats and writes the line, since pino itself writes JSON.
 */
export function createLogger(
  options: {
    level: string;
    host: string;
    writeLine: WriteLine;
    /** Limits lines below level `warn`; without it no line is dropped. */
    rateLimiter?: LineRateLimiter;
  },
): Logger {
  const time = createCachedTimestamp();
  const { rateLimiter } = options;
  const write = (level: number, event: LogEvent) =>
    options.writeLine(formatKeyValueLine({
      time: time(),
      level: pino.levels.labels[level],
      host: options.host,
      ...event,
    }));
  return pino({
    level: options.level,
    hooks: {
      logMethod([event], _method, level) {
        const isWritten = level >= WARN_LEVEL || rateLimiter === undefined ||
          rateLimiter.tryTake();
        if (!isWritten) return;
        const dropped = rateLimiter?.takeDroppedCount() ?? 0;
        if (dropped > 0) write(WARN_LEVEL, { event: "log_dropped", dropped });
        write(level, event as unknown as LogEvent);
      },
    },
  });
}

const WARN_LEVEL = pino.levels.values.warn ?? 0;

/** Limits the lines per second and counts the dropped ones. */
export class LineRateLimiter {
  #bucket: TokenBucket;
  #now: () => number;
  #dropped = 0;

  constructor(lines_per_second: number, now: () => number) {
    const limits = {
      tokens_per_second: lines_per_second,
      burst_tokens: lines_per_second,
    };
    this.#bucket = new TokenBucket(limits, now());
    this.#now = now;
  }

  /** Returns whether a line may be written; if not, counts it as dropped. */
  tryTake(): boolean {
    if (this.#bucket.tryTake(this.#now())) return true;
    this.#dropped += 1;
    return false;
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}

/** Formats the current time as ISO 8601, at most once per millisecond. */
function createCachedTimestamp(): () => string {
  let formatted_ms = 0;
  let text = "";
  return () => {
    const now_ms = Date.now();
    if (now_ms !== formatted_ms) {
      formatted_ms = now_ms;
      text = new Date(now_ms).toISOString();
    }
    return text;
  };
}

/** A buffered line writer; call `flush` before the process exits. */
export interface LineWriter {
  writeLine: WriteLine;
  flush: () => void;
}

const STDOUT_FD = 1;
const MIN_BATCH_BYTES = 8_192;
const FLUSH_INTERVAL_MS = 250;

/** Creates a writer that buffers lines for stdout and writes asynchronously. */
export function createStdoutWriter(): LineWriter {
  const output = pino.destination({
    dest: STDOUT_FD,
    sync: false,
    minLength: MIN_BATCH_BYTES,
  });
  let timer: NodeJS.Timeout | undefined;
  const scheduleFlush = () => {
    timer ??= setTimeout(() => {
      timer = undefined;
      output.flush();
    }, FLUSH_INTERVAL_MS);
  };
  return {
    writeLine(line) {
      output.write(line + "\n");
      scheduleFlush();
    },
    flush: () => output.flushSync(),
  };
}
