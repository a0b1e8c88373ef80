/** What the callers of a soak have seen, and what they work with. */
import type {
  SeenStream,
  SeenTry,
  SeenVersion,
  UnsafeRequest,
} from "./checks.ts";
import type { SoakStage } from "./play_schedule.ts";
import type { SoakHost } from "./soak_host.ts";

/** Name by which callers address the hosts. */
export const HOSTNAME = "fleet.example";

/** What the callers have seen. */
export interface CallerRecord {
  streams: SeenStream[];
  /** Tries to begin a stream. */
  firstTries: CallerTry[];
  /** Tries to take a stream up. */
  takeUps: CallerTry[];
  unsafe: UnsafeRequest[];
  versions: SeenVersion[];
  left: { attempt_id: string; host: SoakHost; left_ms: number }[];
}

/** One try, and what its stream was before. */
export interface CallerTry {
  host: SoakHost;
  seen: SeenTry;
  /** Software version of the stream; undefined if it had not begun. */
  version: string | undefined;
}

/** What callers work with. */
export interface CallersOptions {
  stage: SoakStage;
  random: () => number;
  /** When they begin nothing more, in monotonic time. */
  end_ms: number;
}

/** Creates an empty record. */
export function createCallerRecord(): CallerRecord {
  return {
    streams: [],
    firstTries: [],
    takeUps: [],
    unsafe: [],
    versions: [],
    left: [],
  };
}
