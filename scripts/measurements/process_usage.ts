/** Processor time and memory of a process, from /proc. */
import { readFileSync } from "node:fs";

/** What a process has used. */
export interface ProcessUsage {
  cpu_s: number;
  memory_mb: number;
}

const CLOCK_TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_048_576;
/** Fields after the command's name, which ends with a parenthesis. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

/** Reads a process's usage since its start. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ").map(Number);
  const ticks = (fields[USER_TICKS] ?? 0) + (fields[SYSTEM_TICKS] ?? 0);
  const pages = fields[RESIDENT_PAGES] ?? 0;
  return {
    cpu_s: ticks / CLOCK_TICKS_PER_S,
    memory_mb: pages * PAGE_BYTES / BYTES_PER_MB,
  };
}
