/**
 * Parses the ORCA load reports that endpoints send in the response header
 * `endpoint-load-metrics`, in the JSON and TEXT formats of xDS ORCA.
 */
import type { LoadReport } from "./attempt.ts";

/** Response header that carries the load report. */
export const LOAD_REPORT_HEADER = "endpoint-load-metrics";

const UTILIZATION_PATTERN = /(?:^|[\s,])application_utilization=([\d.]+)/;

/** Parses a load report; undefined if it is absent or malformed. */
export function parseLoadReport(
  header: string | string[] | undefined,
): LoadReport | undefined {
  if (typeof header !== "string") return undefined;
  if (header.startsWith("JSON ")) return parseJsonReport(header.slice(5));
  const match = UTILIZATION_PATTERN.exec(header);
  return match === null ? undefined : createReport(Number(match[1]));
}

function parseJsonReport(text: string): LoadReport | undefined {
  try {
    const report = JSON.parse(text) as { application_utilization?: unknown };
    return createReport(Number(report.application_utilization));
  } catch {
    return undefined;
  }
}

function createReport(utilization: number): LoadReport | undefined {
  return Number.isFinite(utilization) ? { utilization } : undefined;
}
