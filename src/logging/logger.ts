/** The process's log: pino, written as key=value lines. */
import { type Logger, pino } from "pino";
import { TokenBucket } from "../utils/token_bucket.ts";
import { formatKeyValueLine, type LogEvent } from "./key_value_line.ts";

export type { Logger } from "pino";

/** Writes one line of text. */
export type WriteLine = (line: string) => void;

/**
 * Creates the logger of a host; secrets never enter an event. pino decides by
 * level; its hook writes the line, since its own lines are JSON.
 */
export function createLogger(
  options: {
    level: string;
    host: string;
    writeLine: WriteLine;
    /** Bounds the lines below a warning; without it nothing is dropped. */
    rateLimiter?: LineRateLimiter;
  },
): Logger {
  const time = createTimestamp();
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
        const kept = level >= WARNING || rateLimiter === undefined ||
          rateLimiter.tryTake();
        if (!kept) return;
        const dropped = rateLimiter?.takeDroppedCount() ?? 0;
        if (dropped > 0) write(WARNING, { event: "log_dropped", dropped });
        write(level, event as unknown as LogEvent);
      },
    },
  });
}

const WARNING = pino.levels.values.warn ?? 0;

/** Bounds the lines of a second and counts those that were left out. */
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

  /** Whether one more line may be written. */
  tryTake(): boolean {
    if (this.#bucket.take(this.#now())) return true;
    this.#dropped += 1;
    return false;
  }

  /** The number of lines that were left out since the last call. */
  takeDroppedCount(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
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
const FLUSH_AFTER_MS = 250;

/** Writes lines to standard output in batches, without holding up the loop. */
export function createStdoutWriter(): LineWriter {
  const output = pino.destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    minLength: BATCH_BYTES,
  });
  let timer: NodeJS.Timeout | undefined;
  const flushSoon = () => {
    timer ??= setTimeout(() => {
      timer = undefined;
      output.flush();
    }, FLUSH_AFTER_MS);
  };
  return {
    writeLine(line) {
      output.write(line + "\n");
      flushSoon();
    },
    flush: () => output.flushSync(),
  };
}
