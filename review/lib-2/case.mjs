/** Runs one case: its record, its exit code, and the end of all it started. */
import { createWriteStream } from "node:fs";
import { join } from "node:path";

const LONGEST_MS = 115_000;
export const Exit = { Held: 0, Broken: 1, CouldNotRun: 2 };

/**
 * Runs `play`, with or without the disruption as `trouble` says; it returns
 * whether the rule held. It gets `record`, which writes a line to the record,
 * and `atEnd`, for what ends what it started.
 */
export async function runCase({ folder, trouble }, play) {
  const file = createWriteStream(join(folder, "record.txt"));
  const started = Date.now();
  const ends = [];
  const record = (line) => {
    const at_s = ((Date.now() - started) / 1000).toFixed(3);
    file.write(`${at_s.padStart(8)} s  ${line}\n`);
  };
  const summary = (line) => {
    record(line);
    console.log(line);
  };
  let isOver = false;
  const finish = (code) => {
    if (isOver) return;
    isOver = true;
    for (const end of ends.reverse()) {
      try {
        end();
      } catch (error) {
        record(`an end failed: ${error.message}`);
      }
    }
    file.end(() => process.exit(code));
  };
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.on(signal, () => finish(Exit.CouldNotRun));
  }
  process.on("uncaughtException", (error) => {
    summary(`the script failed: ${error.stack}`);
    finish(Exit.CouldNotRun);
  });
  setTimeout(() => {
    summary("the script took too long");
    finish(Exit.CouldNotRun);
  }, LONGEST_MS);
  summary(trouble ? "with the disruption" : "without the disruption");
  try {
    const held = await play({
      record,
      summary,
      atEnd: (end) => ends.push(end),
    });
    summary(held ? "the rule held" : "the rule was broken");
    finish(held ? Exit.Held : Exit.Broken);
  } catch (error) {
    summary(`could not run: ${error.stack}`);
    finish(Exit.CouldNotRun);
  }
}

/** Counts how requests ended, by outcome and status. */
export function countEnds(ends) {
  const counts = {};
  for (const { outcome, status } of ends) {
    const end = status === undefined ? outcome : `${status} ${outcome}`;
    counts[end] = (counts[end] ?? 0) + 1;
  }
  return Object.entries(counts).map(([end, count]) => `${end}: ${count}`)
    .join(", ");
}

/** Writes how a request ended to the record. */
export function recordEnd(record, end) {
  const after_ms = end.ended - end.sent;
  record(
    `answered ${end.attempt} ${end.path} by ${end.to}: ` +
      `${end.outcome} ${end.status ?? ""} after ${after_ms} ms`,
  );
  return end;
}
