/** Reads the processor time and memory of a process from /proc. */
import { readFileSync } from "node:fs";

/** The processor time and resident memory of a process. */
export interface ProcessUsage {
  cpu_s: number;
  memory_mb: number;
}

const CLOCK_TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_048_576;
/**
 * Indexes of the fields in /proc/PID/stat that follow the command's name, which
 * ends with a parenthesis.
 */
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;
const RESIDENT_PAGES_INDEX = 21;

/**
 * Reads the processor time that a process has used since its start, and its
 * current resident memory. Throws if the process does not exist.
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ").map(Number);
  const ticks = (fields[USER_TICKS_INDEX] ?? 0) +
    (fields[SYSTEM_TICKS_INDEX] ?? 0);
  const pages = fields[RESIDENT_PAGES_INDEX] ?? 0;
  return {
    cpu_s: ticks / CLOCK_TICKS_PER_S,
    memory_mb: pages * PAGE_BYTES / BYTES_PER_MB,
  };
}
